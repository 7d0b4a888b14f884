import { RESULT_CODES } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import type { ResponseHead, CallerHead, RelayWire } from '../ports.js';

/** The answer to one caller: nothing, a whole answer, or a stream; never two. */
export class CallerAnswer {
  #isGone = false;
  #isOver = false;
  #onGone: () => void = () => undefined;
  #onDrain: () => void = () => undefined;

  constructor(
    readonly response: ServerResponse,
    readonly wire: RelayWire,
    /** Undefined where the head could not be read. */
    readonly caller: CallerHead | undefined,
    /** Whether the connection is to end with this answer. */
    readonly closesAfter: () => boolean,
  ) {
    response.once('close', () => {
      if (this.#isOver) return;
      this.#isGone = true;
      this.#onGone();
    });
    response.on('drain', () => {
      this.#onDrain();
    });
    response.on('error', () => undefined);
  }

  /** Whether the caller has left before the answer was over. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** Whether the head of an answer is out. */
  get isBegun(): boolean {
    return this.response.headersSent;
  }

  onGone(callback: () => void): void {
    this.#onGone = callback;
  }

  /** `callback` is called when the caller has taken what was written. */
  onDrain(callback: () => void): void {
    this.#onDrain = callback;
  }

  /** Passes on a server's whole answer. */
  sendWhole(head: ResponseHead, body: Buffer): void {
    this.#isOver = true;
    this.#writeHead(head.status, [...head.forwarded, 'Content-Length', String(body.length)]);
    this.response.end(body);
  }

  /** Writes events; false where the caller should be given time to take them. */
  writeEvents(head: ResponseHead, bytes: Buffer): boolean {
    if (!this.isBegun) this.#writeHead(head.status, head.forwarded);
    return this.response.write(bytes);
  }

  endEvents(head: ResponseHead): void {
    this.#isOver = true;
    if (!this.isBegun) this.#writeHead(head.status, head.forwarded);
    this.response.end();
  }

  /** Ends a stream so that it does not look complete. */
  breakOff(): void {
    this.#isOver = true;
    this.response.destroy();
  }

  refuse({ code, detail, retryAfterMs, rule }: Fault): void {
    this.#isOver = true;
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
    const close = this.closesAfter() ? ['Connection', 'close'] : [];
    this.response.writeHead(status, [...headers, ...close]);
  }
}
