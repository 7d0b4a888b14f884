import { RESULT_CODES } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import type { ResponseHead, CallerHead, RelayWire } from '../ports.js';

/** The answer to one caller: nothing, a whole answer, or a stream; never two. */
export class CallerResponse {
  #isDisconnected = false;
  #isFinished = false;
  #onDisconnect: () => void = () => undefined;
  #onDrain: () => void = () => undefined;

  constructor(
    readonly response: ServerResponse,
    readonly wire: RelayWire,
    /** Undefined where the head could not be read. */
    readonly caller: CallerHead | undefined,
    /** Whether the connection is to end with this answer. */
    readonly shouldClose: () => boolean,
  ) {
    response.once('close', () => {
      if (this.#isFinished) return;
      this.#isDisconnected = true;
      this.#onDisconnect();
    });
    response.on('drain', () => {
      this.#onDrain();
    });
    response.on('error', () => undefined);
  }

  /** Whether the caller has left before the answer was over. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether the head of an answer is out. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  onDisconnect(callback: () => void): void {
    this.#onDisconnect = callback;
  }

  /** `callback` is called when the caller has taken what was written. */
  onDrain(callback: () => void): void {
    this.#onDrain = callback;
  }

  /** Passes on a server's whole answer. */
  send(head: ResponseHead, body: Buffer): void {
    this.#isFinished = true;
    this.#writeHead(head.status, [...head.forwarded, 'Content-Length', String(body.length)]);
    this.response.end(body);
  }

  /** Writes events; false where the caller should be given time to take them. */
  writeEvents(head: ResponseHead, bytes: Buffer): boolean {
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    return this.response.write(bytes);
  }

  endEvents(head: ResponseHead): void {
    this.#isFinished = true;
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    this.response.end();
  }

  /** Ends a stream so that it does not look complete. */
  abort(): void {
    this.#isFinished = true;
    this.response.destroy();
  }

  refuse({ code, detail, retryAfterMs, rule }: Fault): void {
    this.#isFinished = true;
    const { httpStatus, number } = RESULT_CODES[code];
    const body = Buffer.from(JSON.stringify({ code, number, detail, rule, retryAfterMs }));
    const length = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    this.#writeHead(httpStatus, [
      ...this.wire.refusalHeaders(this.caller, retryAfterMs),
      ...length,
    ]);
    this.response.end(body);
  }

  #writeHead(status: number, headers: readonly string[]): void {
    const close = this.shouldClose() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...close]);
  }
}
