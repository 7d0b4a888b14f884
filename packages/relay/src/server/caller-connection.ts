import type { Clock, Milliseconds } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import {
  CONNECTION_BYTES,
  headBytesOf,
  openHeadCostBytes,
  requestCostBytes,
} from './caller-costs.js';
import type { ConnectionObserver, ReadReport } from './connection-observer.js';

/** Why no more is read from a connection. */
type HoldReason = 'body' | 'cost' | 'parsing' | 'pipelined' | 'turn';

const connections = new WeakMap<Socket, CallerConnection>();

/** A caller's connection, on which several requests may be pipelined. */
export class CallerConnection {
  /** Costs of the requests whose responses have not ended, in the order of the requests. */
  readonly #unfinished = new Map<ServerResponse, number>();
  /** Responses whose requests wait for earlier ones, with what starts them. */
  readonly #waiting = new Map<ServerResponse, () => void>();
  readonly #holds = new Set<HoldReason>();
  #isClosing = false;
  #hasRequested = false;
  #maxPipelined = Number.POSITIVE_INFINITY;
  #requestsBytes = 0;
  /** Bytes of the last reads that the parser has not reported as part of a head or body. */
  #openBytes = 0;
  /** Bytes that the parser has reported in the present read; undefined if it has reported nothing. */
  #reportedBytes: number | undefined;
  /** Heads and chunks of bodies that the parser has reported in the present read. */
  #partCount = 0;
  #observer: ConnectionObserver | undefined;
  #isWatched = false;
  /** Whether the parser has reported anything since the last call of `takeProgress`. */
  #hasProgressed = false;
  /** Bytes that had been read at the last call of `takeProgress` with progress. */
  #progressBytes = 0;

  /** Returns the connection of a socket, which all requests on it share. */
  static of(socket: Socket): CallerConnection {
    const known = connections.get(socket);
    if (known) return known;
    const created = new CallerConnection(socket);
    connections.set(socket, created);
    return created;
  }

  private constructor(readonly socket: Socket) {
    // Node reports the loss of a connection only to the first of its responses.
    socket.once('close', () => {
      for (const response of [...this.#unfinished.keys()])
        if (!response.socket) response.emit('close');
    });
  }

  /** Whether a request on it has been read. */
  get hasRequested(): boolean {
    return this.#hasRequested;
  }

  /** Whether all of its responses have ended. */
  get isIdle(): boolean {
    return this.#unfinished.size === 0;
  }

  /** Whether several of its requests are unfinished. */
  get isPipelining(): boolean {
    return this.#unfinished.size > 1;
  }

  /** Whether its only request is not complete. */
  get isReceiving(): boolean {
    const [response] = this.#unfinished.keys();
    return this.#unfinished.size === 1 && response?.req.complete === false;
  }

  /** Whether nothing is expected on it before the response to its only request. */
  get isWaiting(): boolean {
    const [response] = this.#unfinished.keys();
    return this.#unfinished.size === 1 && response?.req.complete === true;
  }

  /** Whether it rests but for a head that is not complete. */
  get hasOpenHead(): boolean {
    return this.isIdle && this.#openBytes > 0;
  }

  /** Whether reading is stopped. */
  get isHeld(): boolean {
    return this.#holds.size > 0;
  }

  /** Whether reading is stopped, but not for a body, whose reader counts what is unread of it. */
  get hasUncountedUnread(): boolean {
    return this.isHeld && !this.#holds.has('body');
  }

  /** Estimate of the memory that the connection and its unfinished requests take, without bodies. */
  get costBytes(): number {
    return CONNECTION_BYTES + this.#requestsBytes + openHeadCostBytes(this.#openBytes);
  }

  observe(maxPipelined: number, observer: ConnectionObserver): void {
    this.#maxPipelined = maxPipelined;
    this.#observer = observer;
    // Node resumes the socket when the responses that it has queued are written.
    this.socket.on('resume', () => {
      if (this.isHeld) this.socket.pause();
    });
  }

  /**
   * Calls `onRead` after each read, and counts what it costs at once. Node then no longer passes the
   * data of the socket to its parser directly, which takes more memory for large bodies.
   */
  watchReads(clock: Clock, onRead: (report: ReadReport) => void): void {
    if (this.#isWatched) return;
    this.#isWatched = true;
    let startedAtMs: Milliseconds = 0;
    this.socket.on('data', ({ length: bytes }: Buffer) => {
      const reportedBytes = this.#reportedBytes;
      this.#reportedBytes = undefined;
      this.#openBytes =
        reportedBytes === undefined ? this.#openBytes + bytes : Math.max(0, bytes - reportedBytes);
      const parsingMs = clock.monotonicMs() - startedAtMs;
      onRead({ bytes, partCount: this.#partCount, parsingMs });
      this.#observer?.onCost();
    });
    // Between these listeners, Node's own passes the chunk to the parser.
    this.socket.prependListener('data', () => {
      startedAtMs = clock.monotonicMs();
      this.#reportedBytes = undefined;
      this.#partCount = 0;
    });
  }

  /**
   * Returns whether a head, a part of a body or its end was read since the last call, and updates what
   * a head that is not complete costs, if reads are not watched.
   */
  takeProgress(): boolean {
    const hasProgressed = this.#hasProgressed;
    this.#hasProgressed = false;
    const { bytesRead } = this.socket;
    if (hasProgressed) this.#progressBytes = bytesRead;
    if (!this.#isWatched) {
      this.#openBytes = bytesRead - this.#progressBytes;
      this.#observer?.onCost();
    }
    return hasProgressed;
  }

  /** Whether bytes were read after the last progress that `takeProgress` has returned. */
  get hasUnreportedBytes(): boolean {
    return this.socket.bytesRead > this.#progressBytes;
  }

  /** Records that the parser has passed on `bytes` of a head or body; 0 at the end of a body. */
  onParsed(bytes: number): void {
    this.#hasProgressed = true;
    this.#reportedBytes = (this.#reportedBytes ?? 0) + bytes;
    this.#partCount += 1;
  }

  /** Records that one read has brought very many chunks of a body. */
  onManyChunks(): void {
    this.#observer?.onManyChunks();
  }

  /**
   * Adds the response to a request that was read. Returns false if the connection is closed after an
   * earlier response, so that this request must not be served.
   */
  add(response: ServerResponse): boolean {
    const headBytes = headBytesOf(response.req);
    this.onParsed(headBytes);
    if (this.#isClosing || this.socket.destroyed) return false;
    this.#hasRequested = true;
    const cost = requestCostBytes(response.req, headBytes);
    this.#unfinished.set(response, cost);
    this.#requestsBytes += cost;
    response.once('close', () => {
      this.#remove(response);
    });
    this.#isClosing = !response.shouldKeepAlive;
    if (this.#unfinished.size >= this.#maxPipelined) this.hold('pipelined');
    this.#observer?.onRequest();
    this.#observer?.onCost();
    return true;
  }

  /** Resolves when few enough earlier requests are unfinished, or the connection is closed. */
  waitForTurn(response: ServerResponse): Promise<void> {
    const mayStart = !this.#unfinished.has(response) || this.#first().includes(response);
    if (mayStart) return Promise.resolve();
    return new Promise((resolve) => {
      this.#waiting.set(response, resolve);
    });
  }

  /**
   * Closes the connection after this response, unless later requests on it were read: those would
   * get none. Returns whether it is closed, so that the response can say so.
   */
  closeAfter(response: ServerResponse): boolean {
    const isLast = [...this.#unfinished.keys()].at(-1) === response;
    this.#isClosing ||= isLast;
    return isLast;
  }

  /** Stops reading. What is being parsed is still passed on. */
  hold(reason: HoldReason): void {
    this.#holds.add(reason);
    this.socket.pause();
  }

  /** Reads on, unless another reason is left to stop. */
  release(reason: HoldReason): void {
    if (this.#holds.delete(reason) && !this.isHeld) this.socket.resume();
  }

  /** Responses of the requests that may be served now. */
  #first(): readonly ServerResponse[] {
    const first: ServerResponse[] = [];
    for (const response of this.#unfinished.keys()) {
      if (first.length === this.#maxPipelined) break;
      first.push(response);
    }
    return first;
  }

  #remove(response: ServerResponse): void {
    this.#requestsBytes -= this.#unfinished.get(response) ?? 0;
    this.#unfinished.delete(response);
    for (const started of [response, ...this.#first()]) {
      this.#waiting.get(started)?.();
      this.#waiting.delete(started);
    }
    if (this.#unfinished.size < this.#maxPipelined) this.release('pipelined');
    this.#observer?.onCost();
  }
}
