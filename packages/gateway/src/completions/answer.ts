import type { ServerResponse } from 'node:http';
import type { Fault } from '@poppypond/core';
import { faultBody, sendFault, sendJson } from '@poppypond/web';
import type { CompletionStyle } from './request-body.js';

/** What an answer needs to know of its request. */
export interface ResponseMetadata {
  readonly requestId: string;
  readonly model: string;
  readonly style: CompletionStyle;
  /** Unix time in seconds. */
  readonly created: number;
}

/** Token counts of a finished request. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The caller's side of a request. It ends once, with `finish` or `fail`. */
export interface CompletionResponse {
  token(index: number, text: string): void;
  finish(usage: Usage): void;
  /** Answers at once; a stream that has begun never looks complete afterwards. */
  fail(fault: Fault): void;
}

/** The header that names the request, for questions about it afterwards. */
export const REQUEST_ID_HEADER = 'x-poppypond-request';

const FINISH_REASON = 'length';
const MAX_BUFFERED_BYTES = 4_000_000;

function usageBody(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
  };
}

/** An answer as server-sent events, in the form of common client libraries. */
export class StreamedResponse implements CompletionResponse {
  readonly #chunkPrefix: string;
  readonly #chunkSuffix: string;

  constructor(
    readonly response: ServerResponse,
    readonly head: ResponseMetadata,
  ) {
    const object = head.style === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    const commonFields = `"id":${JSON.stringify(head.requestId)},"object":"${object}","created":${String(head.created)},"model":${JSON.stringify(head.model)}`;
    const isChat = head.style === 'chat';
    this.#chunkPrefix = `data: {${commonFields},"choices":[{"index":0,${isChat ? '"delta":{"content":' : '"text":'}`;
    this.#chunkSuffix = `${isChat ? '}' : ''},"finish_reason":null}]}\n\n`;
  }

  token(index: number, text: string): void {
    if (this.response.destroyed) return;
    if (!this.response.headersSent) this.#writeHead();
    const id = `id: ${this.head.requestId}:${String(index)}\n`;
    this.response.write(`${id}${this.#chunkPrefix}${JSON.stringify(text)}${this.#chunkSuffix}`);
    if (this.response.writableLength > MAX_BUFFERED_BYTES) this.response.destroy();
  }

  finish(usage: Usage): void {
    if (this.response.destroyed) return;
    if (!this.response.headersSent) this.#writeHead();
    const finalChunk = {
      id: this.head.requestId,
      object: this.head.style === 'chat' ? 'chat.completion.chunk' : 'text_completion',
      created: this.head.created,
      model: this.head.model,
      choices: [
        this.head.style === 'chat'
          ? { index: 0, delta: {}, finish_reason: FINISH_REASON }
          : { index: 0, text: '', finish_reason: FINISH_REASON },
      ],
      usage: usageBody(usage),
    };
    this.response.end(`data: ${JSON.stringify(finalChunk)}\n\ndata: [DONE]\n\n`);
  }

  fail(fault: Fault): void {
    if (!this.response.headersSent) {
      const headers = { [REQUEST_ID_HEADER]: this.head.requestId };
      return sendFault(this.response, fault, this.head.requestId, headers);
    }
    if (this.response.destroyed) return;
    this.response.end(`data: ${JSON.stringify(faultBody(fault, this.head.requestId))}\n\n`);
  }

  #writeHead(): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      [REQUEST_ID_HEADER]: this.head.requestId,
    });
  }
}

/** An answer in one piece. */
export class BufferedResponse implements CompletionResponse {
  readonly #tokenTexts: string[] = [];

  constructor(
    readonly response: ServerResponse,
    readonly head: ResponseMetadata,
  ) {}

  token(_index: number, text: string): void {
    this.#tokenTexts.push(text);
  }

  finish(usage: Usage): void {
    const text = this.#tokenTexts.join('');
    const isChat = this.head.style === 'chat';
    const body = {
      id: this.head.requestId,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: this.head.created,
      model: this.head.model,
      choices: [
        isChat
          ? {
              index: 0,
              message: { role: 'assistant', content: text },
              finish_reason: FINISH_REASON,
            }
          : { index: 0, text, finish_reason: FINISH_REASON },
      ],
      usage: usageBody(usage),
    };
    sendJson(this.response, 200, body, { [REQUEST_ID_HEADER]: this.head.requestId });
  }

  fail(fault: Fault): void {
    const headers = { [REQUEST_ID_HEADER]: this.head.requestId };
    sendFault(this.response, fault, this.head.requestId, headers);
  }
}
