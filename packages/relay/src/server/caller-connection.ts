import type { Clock, Milliseconds } from '@poppypond/core';
import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Why no more is read from a connection. */
type HoldReason = 'body' | 'cost' | 'parsing' | 'pipelined';

/** Objects of Node and of the relay that each connection and each request takes, in bytes. */
const CONNECTION_BYTES = 4096;
const REQUEST_BYTES = 16_384;
/** A name or value of a header, besides its characters: the string, and its places in lists. */
const HEADER_STRING_BYTES = 48;
/** The same for a head that is not complete, by its bytes: its lines may have a few bytes each. */
const OPEN_HEAD_FACTOR = 16;
/** Separators of a header line, and of a request line with its version. */
const LINE_BYTES = 4;
const REQUEST_LINE_BYTES = 14;

/** Most that a connection with one request of the usual size costs. */
export const ORDINARY_COST_BYTES = 2 * (CONNECTION_BYTES + REQUEST_BYTES);

/** A message that collects small chunks. */
interface Flushable {
  flush(): void;
}

/** What is told about one read. */
export interface ReadReport {
  readonly bytes: number;
  /** Whether the parser has reported a head, a part of a body or its end. */
  readonly hasProgressed: boolean;
  /** Time that its parsing took, with what was done at once with the requests in it. */
  readonly parsingMs: Milliseconds;
}

const connections = new WeakMap<Socket, CallerConnection>();

function headBytesOf({ req }: ServerResponse): number {
  const { method = '', rawHeaders, url = '' } = req;
  let bytes = method.length + url.length + REQUEST_LINE_BYTES;
  bytes += (rawHeaders.length / 2) * LINE_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

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
  #onChange: () => void = () => undefined;
  #isWatched = false;
  #unflushed: Flushable | undefined;

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

  /** Whether it rests but for a head that is not complete. */
  get hasOpenHead(): boolean {
    return this.isIdle && this.#openBytes > 0;
  }

  /** Whether reading is stopped. */
  get isHeld(): boolean {
    return this.#holds.size > 0;
  }

  /** Estimate of the memory that the connection and its unfinished requests take, without bodies. */
  get costBytes(): number {
    return CONNECTION_BYTES + this.#requestsBytes + this.#openBytes * OPEN_HEAD_FACTOR;
  }

  /**
   * Watches the connection: `onRead` is called after each read, and `onChange` when the cost may have
   * changed.
   */
  watch(
    clock: Clock,
    maxPipelined: number,
    onRead: (report: ReadReport) => void,
    onChange: () => void,
  ): void {
    this.#maxPipelined = maxPipelined;
    this.#onChange = onChange;
    this.#isWatched = true;
    // Node resumes the socket when the responses that it has queued are written.
    this.socket.on('resume', () => {
      if (this.isHeld) this.socket.pause();
    });
    let startedAtMs: Milliseconds = 0;
    // Between these listeners, Node's own passes the chunk to the parser.
    this.socket.prependListener('data', () => {
      startedAtMs = clock.monotonicMs();
    });
    this.socket.on('data', ({ length: bytes }: Buffer) => {
      this.#unflushed?.flush();
      this.#unflushed = undefined;
      const reportedBytes = this.#reportedBytes;
      this.#reportedBytes = undefined;
      const hasProgressed = reportedBytes !== undefined;
      this.#openBytes = hasProgressed
        ? Math.max(0, bytes - reportedBytes)
        : this.#openBytes + bytes;
      onRead({ bytes, hasProgressed, parsingMs: clock.monotonicMs() - startedAtMs });
      onChange();
    });
  }

  /** Flushes a message after the present read; returns false if reads are not watched. */
  flushAfterRead(message: Flushable): boolean {
    if (this.#isWatched) this.#unflushed = message;
    return this.#isWatched;
  }

  /** Records that the parser has passed on `bytes` of a head or body; 0 at the end of a body. */
  onParsed(bytes: number): void {
    this.#reportedBytes = (this.#reportedBytes ?? 0) + bytes;
  }

  /**
   * Adds the response to a request that was read. Returns false if the connection is closed after an
   * earlier response, so that this request must not be served.
   */
  add(response: ServerResponse): boolean {
    const headBytes = headBytesOf(response);
    this.onParsed(headBytes);
    if (this.#isClosing || this.socket.destroyed) return false;
    this.#hasRequested = true;
    const strings = response.req.rawHeaders.length;
    const cost = REQUEST_BYTES + headBytes + strings * HEADER_STRING_BYTES;
    this.#unfinished.set(response, cost);
    this.#requestsBytes += cost;
    response.once('close', () => {
      this.#remove(response);
    });
    this.#isClosing = !response.shouldKeepAlive;
    if (this.#unfinished.size >= this.#maxPipelined) this.hold('pipelined');
    this.#onChange();
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
    this.#onChange();
  }
}
