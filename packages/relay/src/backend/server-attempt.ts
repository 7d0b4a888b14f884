import type { CancelTimer, Clock } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { CONNECT_LIMIT_MS } from '@poppypond/web';
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { ResponseHead, HeaderPairs } from '../ports.js';
import { EventFrameSplitter } from './event-frame-splitter.js';
import type { EventFrame } from './event-frame-splitter.js';

/** One attempt of a request at one backend server. */
export interface AttemptRequest {
  readonly server: BackendServer;
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderPairs;
  readonly body: Buffer;
  /** The request that the answer must name. */
  readonly requestId: string;
  /** Whether a good answer is to come as events. */
  readonly wantsEvents: boolean;
}

/**
 * How an attempt ended. `not_sent`: no byte left this host. `whole`: an answer with its whole
 * body, of any status. `events_done`: a stream came to its orderly end. `broken`: the connection
 * or the answer was spoiled, and the server may have run the request. `cancelled`: by us.
 */
export type AttemptOutcome =
  | { readonly kind: 'not_sent'; readonly detail: string }
  | { readonly kind: 'whole'; readonly head: ResponseHead; readonly body: Buffer }
  | { readonly kind: 'events_done'; readonly head: ResponseHead }
  | { readonly kind: 'broken'; readonly detail: string }
  | { readonly kind: 'cancelled' };

/** Called while a stream runs; false stops reading until `resume`. */
type FramesListener = (frames: readonly EventFrame[], head: ResponseHead) => boolean;

/** What an attempt needs besides its call. */
export interface AttemptParts {
  readonly clock: Clock;
  readonly parseResponseHead: (message: IncomingMessage) => ResponseHead;
  /** The head of an answer of this server to this request has come, of whatever status. */
  readonly onHead: (head: ResponseHead) => void;
  readonly onFrames: FramesListener;
}

/** Plain answers are held until they are whole, up to this size. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
const MIN_SUCCESS_STATUS = 200;
const SUCCESS_STATUS_END = 300;

function isSuccess(status: number): boolean {
  return status >= MIN_SUCCESS_STATUS && status < SUCCESS_STATUS_END;
}

/**
 * Runs one attempt on a connection of its own, so that no byte of an earlier answer can be taken
 * for this one's, and none after its end counts.
 */
export class ServerAttempt {
  readonly done: Promise<AttemptOutcome>;
  #resolveDone: (end: AttemptOutcome) => void = () => undefined;
  #isFinished = false;
  #isConnected = false;
  /** Node counts an answer without a length as complete also when its connection is reset. */
  #isReset = false;
  #cancelConnectTimeout: CancelTimer = () => undefined;
  readonly #request: ClientRequest;
  #response: IncomingMessage | undefined;

  constructor(
    readonly call: AttemptRequest,
    readonly parts: AttemptParts,
  ) {
    this.done = new Promise((resolve) => {
      this.#resolveDone = resolve;
    });
    this.#request = this.#open();
  }

  /** Whether the server has taken the connection; before that nothing was sent. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** Stops the attempt by closing its connection, which stops the server's work too. */
  cancel(): void {
    this.#settle({ kind: 'cancelled' });
  }

  /** Reads on after the listener asked for a pause. */
  resume(): void {
    this.#response?.resume();
  }

  #open(): ClientRequest {
    const { server, method, path, headers, body } = this.call;
    const opened = request({
      host: server.address,
      port: server.port,
      method,
      path,
      headers,
      agent: false,
      setHost: false,
    });
    opened.once('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('error', () => {
        this.#isReset = true;
      });
      // A reset that comes together with bytes is told as an orderly end; only then there is no
      // peer any more. The address must not have been asked for before, as it is remembered.
      socket.prependOnceListener('end', () => {
        if (socket.remoteAddress === undefined) this.#isReset = true;
      });
      socket.once('connect', () => {
        this.#isConnected = true;
        this.#cancelConnectTimeout();
      });
    });
    opened.once('response', (response) => {
      this.#onResponse(response);
    });
    opened.on('error', (error) => {
      this.#onError(error.message);
    });
    opened.once('close', () => {
      this.#onError('closed without an answer');
    });
    this.#cancelConnectTimeout = this.parts.clock.after(CONNECT_LIMIT_MS, () => {
      if (!this.#isConnected) this.#settle({ kind: 'not_sent', detail: 'no connection in time' });
    });
    opened.end(body);
    return opened;
  }

  #onError(detail: string): void {
    if (this.#response) return;
    this.#settle(this.#isConnected ? { kind: 'broken', detail } : { kind: 'not_sent', detail });
  }

  #settle(end: AttemptOutcome): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#cancelConnectTimeout();
    this.#request.destroy();
    this.#resolveDone(end);
  }

  #onResponse(response: IncomingMessage): void {
    this.#response = response;
    const head = this.parts.parseResponseHead(response);
    response.on('error', () => undefined);
    // Refusals may lack the request's identifier; one of another request is another answer.
    if ((head.requestId ?? this.call.requestId) === this.call.requestId) this.parts.onHead(head);
    if (isSuccess(head.status) && (head.requestId !== this.call.requestId || !head.isSigned)) {
      this.#settle({ kind: 'broken', detail: 'the answer is not one to this request' });
    } else if (isSuccess(head.status) && this.call.wantsEvents) {
      this.#readEvents(response, head);
    } else {
      this.#readBody(response, head);
    }
  }

  #isComplete(response: IncomingMessage): boolean {
    return response.complete && !this.#isReset;
  }

  #readEvents(response: IncomingMessage, head: ResponseHead): void {
    const splitter = new EventFrameSplitter();
    response.on('data', (chunk: Buffer) => {
      if (this.#isFinished) return;
      const complete = splitter.push(chunk);
      if (complete.length > 0 && !this.parts.onFrames(complete, head)) response.pause();
    });
    response.once('close', () => {
      const isOrderly = this.#isComplete(response) && !splitter.hasPartialFrame;
      const detail = 'the stream ended early';
      this.#settle(isOrderly ? { kind: 'events_done', head } : { kind: 'broken', detail });
    });
  }

  #readBody(response: IncomingMessage, head: ResponseHead): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MAX_RESPONSE_BYTES)
        this.#settle({ kind: 'broken', detail: 'the answer is too large' });
    });
    response.once('close', () => {
      if (this.#isComplete(response))
        this.#settle({ kind: 'whole', head, body: Buffer.concat(chunks) });
      else this.#settle({ kind: 'broken', detail: 'the answer ended early' });
    });
  }
}
