import type { CancelTimer, Clock } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { CONNECT_LIMIT_MS } from '@poppypond/web';
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { ResponseHead, HeaderPairs } from '../ports.js';
import { EventFrames } from './event-frames.js';
import type { EventFrame } from './event-frames.js';

/** One attempt of a request at one backend server. */
export interface ServerCall {
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
export type AttemptEnd =
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
  readonly readAnswer: (message: IncomingMessage) => ResponseHead;
  /** The head of an answer of this server to this request has come, of whatever status. */
  readonly onHead: (head: ResponseHead) => void;
  readonly onFrames: FramesListener;
}

/** Plain answers are held until they are whole, up to this size. */
const MOST_ANSWER_BYTES = 4 * 1024 * 1024;
const SUCCESS_FROM = 200;
const SUCCESS_BELOW = 300;

function isSuccess(status: number): boolean {
  return status >= SUCCESS_FROM && status < SUCCESS_BELOW;
}

/**
 * Runs one attempt on a connection of its own, so that no byte of an earlier answer can be taken
 * for this one's, and none after its end counts.
 */
export class ServerAttempt {
  readonly done: Promise<AttemptEnd>;
  #finish: (end: AttemptEnd) => void = () => undefined;
  #isFinished = false;
  #isConnected = false;
  /** Node counts an answer without a length as complete also when its connection is reset. */
  #isReset = false;
  #cancelConnectLimit: CancelTimer = () => undefined;
  readonly #request: ClientRequest;
  #response: IncomingMessage | undefined;

  constructor(
    readonly call: ServerCall,
    readonly parts: AttemptParts,
  ) {
    this.done = new Promise((resolve) => {
      this.#finish = resolve;
    });
    this.#request = this.#open();
  }

  /** Whether the server has taken the connection; before that nothing was sent. */
  get isConnected(): boolean {
    return this.#isConnected;
  }

  /** Stops the attempt by closing its connection, which stops the server's work too. */
  cancel(): void {
    this.#end({ kind: 'cancelled' });
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
        this.#cancelConnectLimit();
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
    this.#cancelConnectLimit = this.parts.clock.after(CONNECT_LIMIT_MS, () => {
      if (!this.#isConnected) this.#end({ kind: 'not_sent', detail: 'no connection in time' });
    });
    opened.end(body);
    return opened;
  }

  #onError(detail: string): void {
    if (this.#response) return;
    this.#end(this.#isConnected ? { kind: 'broken', detail } : { kind: 'not_sent', detail });
  }

  #end(end: AttemptEnd): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#cancelConnectLimit();
    this.#request.destroy();
    this.#finish(end);
  }

  #onResponse(response: IncomingMessage): void {
    this.#response = response;
    const head = this.parts.readAnswer(response);
    response.on('error', () => undefined);
    // Refusals may lack the request's identifier; one of another request is another answer.
    if ((head.requestId ?? this.call.requestId) === this.call.requestId) this.parts.onHead(head);
    if (isSuccess(head.status) && (head.requestId !== this.call.requestId || !head.isSigned)) {
      this.#end({ kind: 'broken', detail: 'the answer is not one to this request' });
    } else if (isSuccess(head.status) && this.call.wantsEvents) {
      this.#readEvents(response, head);
    } else {
      this.#readWhole(response, head);
    }
  }

  #isComplete(response: IncomingMessage): boolean {
    return response.complete && !this.#isReset;
  }

  #readEvents(response: IncomingMessage, head: ResponseHead): void {
    const frames = new EventFrames();
    response.on('data', (chunk: Buffer) => {
      if (this.#isFinished) return;
      const whole = frames.push(chunk);
      if (whole.length > 0 && !this.parts.onFrames(whole, head)) response.pause();
    });
    response.once('close', () => {
      const isOrderly = this.#isComplete(response) && !frames.hasRest;
      const detail = 'the stream ended early';
      this.#end(isOrderly ? { kind: 'events_done', head } : { kind: 'broken', detail });
    });
  }

  #readWhole(response: IncomingMessage, head: ResponseHead): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    response.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      bytes += chunk.length;
      if (bytes > MOST_ANSWER_BYTES)
        this.#end({ kind: 'broken', detail: 'the answer is too large' });
    });
    response.once('close', () => {
      if (this.#isComplete(response))
        this.#end({ kind: 'whole', head, body: Buffer.concat(chunks) });
      else this.#end({ kind: 'broken', detail: 'the answer ended early' });
    });
  }
}
