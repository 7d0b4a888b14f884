import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { ChunkJoiner, ReceivedBytes, receiveResponse } from '@poppypond/web';
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { ServerConnector } from '../connections/server-connector.js';
import type { HostBudget, Reservation } from '../host/host-budget.js';
import { unreadBytesOf } from '../host/unread-bytes.js';
import type { ResponseHead, HeaderPairs } from '../ports.js';
import { EventFrameSplitter } from './event-frames.js';
import type { EventFrame } from './event-frames.js';

/** The request that one attempt sends to a backend server. */
export interface AttemptRequest {
  readonly server: BackendServer;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderPairs;
  readonly body: Buffer;
  /** The request id that the response must carry. */
  readonly requestId: string;
  /** Whether a successful response is an event stream. */
  readonly wantsEvents: boolean;
}

/**
 * How an attempt ended. `not_sent`: no connection came up, so no byte was sent; `isServerAtFault` is
 * false if only this host may not reach the server. `whole`: a complete
 * response with its body, of any status. `events_done`: an event stream ended cleanly. `broken`:
 * the connection failed or the response was invalid, and the server may have run the request.
 * `isDelimited`: whether the response states its end itself, by a length or chunks; the end of its
 * connection may otherwise be that of the server.
 * `not_taken`: the rest of the response was not read, as the host had no room for it or its caller
 * did not read. `cancelled`: by this host.
 */
export type AttemptOutcome =
  | { readonly kind: 'not_sent'; readonly detail: string; readonly isServerAtFault: boolean }
  | {
      readonly kind: 'whole';
      readonly head: ResponseHead;
      readonly body: Buffer;
      readonly isDelimited: boolean;
    }
  | { readonly kind: 'events_done'; readonly head: ResponseHead; readonly isDelimited: boolean }
  | { readonly kind: 'broken'; readonly detail: string }
  | {
      readonly kind: 'not_taken';
      readonly why: 'host_full' | 'caller_too_slow';
      readonly detail: string;
    }
  | { readonly kind: 'cancelled' };

/** Called with each batch of complete events; returns false to pause reading until `resume`. */
type FramesListener = (frames: readonly EventFrame[], head: ResponseHead) => boolean;

/** Dependencies of `ServerAttempt`. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly connector: ServerConnector;
  readonly parseResponseHead: (message: IncomingMessage) => ResponseHead;
  /** Called with the head of a response to this request, of any status. */
  readonly onHead: (head: ResponseHead) => void;
  readonly onFrames: FramesListener;
  /** Counts what is taken in of responses. */
  readonly hostBudget: HostBudget;
}

/** Responses that are not event streams are buffered until complete, up to this size. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Comments and blank lines that may stand between two events. */
const MAX_BYTES_BETWEEN_EVENTS = 64 * 1024;
/**
 * A server is left waiting for a slow caller for at most this long: servers abort answers that stay
 * unread for some seconds, and until then the wait occupies a slot.
 */
const MAX_PAUSE_MS: Milliseconds = 3000;
const MIN_SUCCESS_STATUS = 200;
const SUCCESS_STATUS_END = 300;

function isSuccess(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < SUCCESS_STATUS_END;
}

function isDelimitedResponse({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Runs one attempt on a connection of its own, so that bytes of an earlier response can't be
 * mistaken for this one, and bytes after its end are ignored.
 */
export class ServerAttempt {
  /** Rejects only for an exception that no code expects. */
  readonly done: Promise<AttemptOutcome>;
  #resolveDone: (end: AttemptOutcome) => void = () => undefined;
  #rejectDone: (error: unknown) => void = () => undefined;
  #isFinished = false;
  readonly #connecting = new AbortController();
  #isConnected = false;
  #isDirect = false;
  /**
   * Tracked because Node reports a response without a length as complete even if its connection was
   * reset.
   */
  #isReset = false;
  /** Bytes of the response that were taken in and not passed on yet. */
  readonly #held: Reservation;
  /** Bytes that are estimated to have arrived while reading is paused. */
  readonly #unread: Reservation;
  #isPaused = false;
  #cancelPauseLimit: CancelTimer = () => undefined;
  #connection: Duplex | undefined;
  #request: ClientRequest | undefined;

  constructor(
    readonly call: AttemptRequest,
    readonly parts: AttemptParts,
  ) {
    this.done = new Promise((resolve, reject) => {
      this.#resolveDone = resolve;
      this.#rejectDone = reject;
    });
    this.#held = parts.hostBudget.reserve('answer');
    this.#unread = parts.hostBudget.reserve('unread');
    this.#open().catch((error: unknown) => {
      this.#fail(error);
    });
  }

  /** Whether reading is paused because the caller does not read. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  /** Whether the connection is established; before that nothing was sent. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** Whether the connection was opened by this host itself. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  /** Cancels the attempt by closing its connection, which also stops the server's work. */
  cancel(): void {
    this.#settle({ kind: 'cancelled' });
  }

  /** Resumes reading after `onFrames` returned false. */
  resume(): void {
    this.#isPaused = false;
    this.#cancelPauseLimit();
    this.#unread.resize(0);
    this.#connection?.resume();
  }

  /**
   * Pauses the connection. A paused response would keep every chunk that is still parsed as an object
   * of its own; what is parsed after this is passed on.
   */
  #pause(): void {
    const { clock, hostBudget } = this.parts;
    if (this.#isPaused) return;
    this.#isPaused = true;
    this.#connection?.pause();
    if (!hostBudget.isEnabled) return;
    this.#unread.resize(unreadBytesOf(MAX_RESPONSE_BYTES));
    this.#cancelPauseLimit = clock.after(MAX_PAUSE_MS, () => {
      this.#settleNotRead();
    });
  }

  #settleNotRead(): void {
    const detail = 'the caller did not read what the host could hold for it';
    this.#settle({ kind: 'not_taken', why: 'caller_too_slow', detail });
  }

  async #open(): Promise<void> {
    const connected = await this.parts.connector.connect(this.call.server, this.#connecting.signal);
    if (connected.isErr) {
      const { detail, isServerAtFault } = connected.error;
      return this.#settle({ kind: 'not_sent', detail, isServerAtFault });
    }
    const connection = connected.value;
    if (this.#isFinished) connection.destroy();
    else if (connection.destroyed)
      this.#settle({ kind: 'not_sent', detail: 'connection closed', isServerAtFault: true });
    else this.#send(connection);
  }

  #send(connection: Duplex): void {
    const { method, path, headers, body } = this.call;
    this.#connection = connection;
    this.#isConnected = true;
    this.#isDirect = connection instanceof Socket;
    // Node resumes the connection whenever the response takes data.
    connection.on('resume', () => {
      if (this.#isPaused) connection.pause();
    });
    connection.once('error', () => {
      this.#isReset = true;
    });
    // Node reports a reset that arrives together with data as a clean end; only in that case the
    // socket has no remote address. The address must not be read earlier, as Node caches it.
    connection.prependOnceListener('end', () => {
      if (connection instanceof Socket && connection.remoteAddress === undefined)
        this.#isReset = true;
    });
    const opened = request({
      method,
      path,
      headers,
      setHost: false,
      createConnection: () => connection,
    });
    this.#request = opened;
    receiveResponse(opened, {
      onResponse: (response) => {
        this.#guard(() => {
          this.#onResponse(response);
        });
      },
      onFailure: (detail) => {
        this.#settle({ kind: 'broken', detail });
      },
    });
    const { link } = this.parts.hostBudget;
    opened.end(body, link && (() => link.onWritten(body.length)));
  }

  #settle(end: AttemptOutcome): void {
    if (this.#isFinished) return;
    this.#close();
    this.#resolveDone(end);
  }

  #fail(error: unknown): void {
    if (this.#isFinished) throw error;
    this.#close();
    this.#rejectDone(error);
  }

  /** Runs a listener; its exceptions fail this attempt instead of the process. */
  #guard(listener: () => void): void {
    try {
      listener();
    } catch (error) {
      this.#fail(error);
    }
  }

  /** Closes the connection and returns what the attempt holds. */
  #close(): void {
    this.#isFinished = true;
    this.#cancelPauseLimit();
    this.#held.end();
    this.#unread.end();
    this.#connecting.abort();
    this.#request?.destroy();
  }

  #onResponse(response: IncomingMessage): void {
    const head = this.parts.parseResponseHead(response);
    response.on('error', () => undefined);
    // Error responses may lack a request id; a response with another id answers another request.
    if ((head.requestId ?? this.call.requestId) === this.call.requestId) this.parts.onHead(head);
    if (isSuccess(head.status) && (head.requestId !== this.call.requestId || !head.isSigned)) {
      this.#settle({
        kind: 'broken',
        detail: 'the response does not carry the id of this request or is unsigned',
      });
    } else if (isSuccess(head.status) && this.call.wantsEvents) {
      this.#readEvents(response, head);
    } else {
      this.#readBody(response, head);
    }
  }

  /** Calls `onBytes` with the body as it arrives, and `onEnd` after that. */
  #receive(response: IncomingMessage, onBytes: (bytes: Buffer) => void, onEnd: () => void): void {
    const joiner = new ChunkJoiner((bytes) => {
      if (this.#isFinished) return;
      this.#guard(() => {
        onBytes(bytes);
      });
    });
    response.on('data', (chunk: Buffer) => {
      joiner.push(chunk);
    });
    response.once('close', () => {
      joiner.flush();
      onEnd();
    });
  }

  #isComplete(response: IncomingMessage): boolean {
    return response.complete && !this.#isReset;
  }

  #readEvents(response: IncomingMessage, head: ResponseHead): void {
    const splitter = new EventFrameSplitter();
    let bytesSinceEvent = 0;
    const onBytes = (bytes: Buffer) => {
      const complete = splitter.push(bytes);
      this.#held.resize(splitter.partialBytes);
      for (const frame of complete)
        bytesSinceEvent = frame.isEvent ? 0 : bytesSinceEvent + frame.bytes.length;
      if (bytesSinceEvent > MAX_BYTES_BETWEEN_EVENTS)
        this.#settle({ kind: 'broken', detail: 'too many bytes between events' });
      else if (complete.length > 0 && !this.parts.onFrames(complete, head)) this.#pause();
      else if (splitter.partialBytes > MAX_RESPONSE_BYTES)
        this.#settle({ kind: 'broken', detail: 'event is too large' });
    };
    this.#receive(response, onBytes, () => {
      // A server that aborts an answer which stays unread has not failed.
      if (this.#isPaused && this.parts.hostBudget.isEnabled) return this.#settleNotRead();
      const isOrderly = this.#isComplete(response) && !splitter.hasPartialFrame;
      const detail = 'event stream ended early';
      const isDelimited = isDelimitedResponse(response);
      this.#settle(
        isOrderly ? { kind: 'events_done', head, isDelimited } : { kind: 'broken', detail },
      );
    });
  }

  #readBody(response: IncomingMessage, head: ResponseHead): void {
    const declaredBytes = Number(response.headers['content-length'] ?? Number.POSITIVE_INFINITY);
    const isKnown = declaredBytes <= MAX_RESPONSE_BYTES;
    const received = new ReceivedBytes(isKnown ? declaredBytes : undefined);
    const onBytes = (bytes: Buffer) => {
      if (!this.parts.hostBudget.fitsAnswer(bytes.length)) return this.#settleFull();
      this.#held.add(bytes.length);
      received.push(bytes);
      if (received.length > MAX_RESPONSE_BYTES)
        this.#settle({ kind: 'broken', detail: 'response body is too large' });
    };
    this.#receive(response, onBytes, () => {
      const isDelimited = isDelimitedResponse(response);
      if (this.#isComplete(response))
        this.#settle({ kind: 'whole', head, body: received.take(), isDelimited });
      else this.#settle({ kind: 'broken', detail: 'response body ended early' });
    });
  }

  #settleFull(): void {
    const detail = 'the host has no room for the answer';
    this.#settle({ kind: 'not_taken', why: 'host_full', detail });
  }
}
