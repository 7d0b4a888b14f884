import { RESULT_CODES } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import type { ResponseHead, CallerHead, RelayWire } from '../ports.js';

/** The response to one caller: nothing, one complete response, or one event stream. */
export class CallerResponse {
  #isDisconnected = false;
  #isFinished = false;
  #onDisconnect: () => void = () => undefined;
  #onDrain: () => void = () => undefined;

  constructor(
    readonly response: ServerResponse,
    readonly wire: RelayWire,
    /** Undefined if the head of the request could not be parsed. */
    readonly caller: CallerHead | undefined,
    /** Whether the connection is closed after this response. */
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

  /** Whether the caller disconnected before the response was finished. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether the head of a response was sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  onDisconnect(callback: () => void): void {
    this.#onDisconnect = callback;
  }

  /** Sets the callback for when the write buffer is empty again. */
  onDrain(callback: () => void): void {
    this.#onDrain = callback;
  }

  /** Sends a server's complete response. */
  send(head: ResponseHead, body: Buffer): void {
    this.#isFinished = true;
    this.#writeHead(head.status, [...head.forwarded, 'Content-Length', String(body.length)]);
    this.response.end(body);
  }

  /** Writes events; returns false if the write buffer is full. */
  writeEvents(head: ResponseHead, bytes: Buffer): boolean {
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    return this.response.write(bytes);
  }

  endEvents(head: ResponseHead): void {
    this.#isFinished = true;
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    this.response.end();
  }

  /** Aborts a stream by closing the connection, so that it does not look complete. */
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
