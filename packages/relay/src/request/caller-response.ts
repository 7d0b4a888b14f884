import { RESULT_CODES } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import { CallerWrites } from '../host/caller-writes.js';
import type { HostBudget } from '../host/host-budget.js';
import type { ResponseHead, CallerHead, RelayWire } from '../ports.js';
import type { CallerConnection } from '../server/caller-connection.js';

/** A caller that sends a refused body for longer than this is disconnected. */
const MAX_DISCARD_MS: Milliseconds = 5000;
/** The same for a caller that has sent nothing of it for a while: it only has to read the refusal. */
const MAX_STALLED_DISCARD_MS: Milliseconds = 500;

/** The response to one caller: nothing, one complete response, or one event stream. */
export class CallerResponse {
  #isDisconnected = false;
  #isFinished = false;
  #isTooSlow = false;
  #onDisconnect: () => void = () => undefined;
  readonly #writes: CallerWrites;

  constructor(
    readonly response: ServerResponse,
    readonly wire: RelayWire,
    /** Undefined if the head of the request could not be parsed. */
    readonly caller: CallerHead | undefined,
    readonly connection: CallerConnection,
    /** Whether the connection is to be closed after its last response. */
    readonly shouldClose: () => boolean,
    /** Counts what the caller has not read yet. */
    hostBudget: HostBudget,
  ) {
    this.#writes = new CallerWrites(response, hostBudget);
    response.once('close', () => {
      if (this.#isFinished) return;
      this.#isDisconnected = true;
      this.#onDisconnect();
    });
    response.on('error', () => undefined);
  }

  /** Whether the caller disconnected before the response was finished. */
  get isDisconnected(): boolean {
    return this.#isDisconnected;
  }

  /** Whether nothing more will be written. */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Whether the head of a response was sent. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  onDisconnect(callback: () => void): void {
    this.#onDisconnect = callback;
  }

  /** Sets the callback for when more events may be written after `writeEvents` returned false. */
  onRoom(callback: () => void): void {
    this.#writes.onRoom(callback);
  }

  /** Bytes that the caller has not read yet and that are held for it. */
  get heldBytes(): number {
    return this.#writes.heldBytes;
  }

  /** Whether the connection was closed because the caller read nothing for its time limit. */
  get isTooSlow(): boolean {
    return this.#isTooSlow;
  }

  /**
   * Closes the connection, after a call of `onTooSlow`, if the caller reads nothing for
   * `timeLimitMs` although there is something to read, at the latest after twice that time.
   */
  limitReading(timeLimitMs: Milliseconds, onTooSlow: () => void): void {
    // The timer of the socket takes partial writes into account: if some bytes were written since it
    // started, it runs once more.
    this.response.setTimeout(timeLimitMs, () => {
      if (this.response.writableLength === 0) return;
      this.#isTooSlow = true;
      onTooSlow();
      this.response.destroy();
    });
  }

  /** Sends a server's complete response. */
  send(head: ResponseHead, body: Buffer): void {
    this.#isFinished = true;
    this.#writeHead(head.status, [...head.forwarded, 'Content-Length', String(body.length)]);
    this.#writes.end(body);
  }

  /** Writes events; returns false if no more should be written until `onRoom` is called. */
  writeEvents(head: ResponseHead, bytes: Buffer): boolean {
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    return this.#writes.write(bytes);
  }

  endEvents(head: ResponseHead): void {
    this.#isFinished = true;
    if (!this.hasStarted) this.#writeHead(head.status, head.forwarded);
    this.#writes.end();
  }

  /** Aborts a stream by closing the connection, so that it does not look complete. */
  abort(): void {
    this.#isFinished = true;
    this.response.destroy();
  }

  /** Refuses the request, or aborts the response if it has begun. */
  refuseOrAbort(reason: Fault): void {
    if (this.hasStarted) this.abort();
    else this.refuse(reason);
  }

  refuse(reason: Fault): void {
    this.#isFinished = true;
    this.#writes.end(this.#writeRefusal(reason));
  }

  /**
   * Refuses a request whose body has not arrived completely, and discards the rest of it. The
   * response is complete at once, but the connection is not closed before the rest has arrived: a
   * caller whose connection is reset while it sends does not read the response. `isStalled`: whether
   * the caller has stopped sending.
   */
  refuseUnread(reason: Fault, isStalled = false): void {
    const { req, socket } = this.response;
    this.#isFinished = true;
    const body = this.#writeRefusal(reason, isStalled);
    const end = () => {
      clearTimeout(limit);
      this.#writes.end();
    };
    const limit = setTimeout(
      () => {
        socket?.destroy();
      },
      isStalled ? MAX_STALLED_DISCARD_MS : MAX_DISCARD_MS,
    );
    this.response.write(body);
    // The rest may have arrived together with the part for which the request is refused.
    if (req.readableEnded) return end();
    req.once('end', end);
    this.response.once('close', end);
    req.resume();
  }

  /** Writes the head of a refusal and returns its body. */
  #writeRefusal({ code, detail, retryAfterMs, rule }: Fault, mustClose = false): Buffer {
    const { httpStatus, number } = RESULT_CODES[code];
    const body = Buffer.from(JSON.stringify({ code, number, detail, rule, retryAfterMs }));
    const length = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
    const headers = [...this.wire.refusalHeaders(this.caller, retryAfterMs), ...length];
    this.#writeHead(httpStatus, headers, mustClose);
    return body;
  }

  #writeHead(status: number, headers: readonly string[], mustClose = false): void {
    const shouldClose = mustClose || this.shouldClose();
    const isClosed = shouldClose && this.connection.closeAfter(this.response);
    this.response.writeHead(status, [...headers, ...(isClosed ? ['Connection', 'close'] : [])]);
  }
}
