import type { ServerResponse } from 'node:http';
import type { Fault } from '@poppypond/core';
import { faultBody, sendFault, sendJson } from '@poppypond/web';
import type { CompletionStyle } from './request-body.js';

/** Fields of a request that its response repeats. */
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

/** Writes the response to the caller. It ends exactly once, with either `finish` or `fail`. */
export interface CompletionResponse {
  token(index: number, text: string): void;
  finish(usage: Usage): void;
  /** Sends a fault. A stream that has begun ends without `[DONE]`, so it never looks complete. */
  fail(fault: Fault): void;
}

/** Response header with the request's identifier, by which `/explain` finds its decisions. */
export const REQUEST_ID_HEADER = 'x-poppypond-request';

const FINISH_REASON = 'length';
/** A stream with more unread bytes than this is closed: its caller reads too slowly. */
const MAX_BUFFERED_BYTES = 4_000_000;

function usageBody(usage: Usage) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
  };
}

/** Response as server-sent events, in the format that common client libraries read. */
export class StreamedResponse implements CompletionResponse {
  readonly #chunkPrefix: string;
  readonly #chunkSuffix: string;

  constructor(
    readonly response: ServerResponse,
    readonly metadata: ResponseMetadata,
  ) {
    const object = metadata.style === 'chat' ? 'chat.completion.chunk' : 'text_completion';
    const commonFields = `"id":${JSON.stringify(metadata.requestId)},"object":"${object}","created":${String(metadata.created)},"model":${JSON.stringify(metadata.model)}`;
    const isChat = metadata.style === 'chat';
    this.#chunkPrefix = `data: {${commonFields},"choices":[{"index":0,${isChat ? '"delta":{"content":' : '"text":'}`;
    this.#chunkSuffix = `${isChat ? '}' : ''},"finish_reason":null}]}\n\n`;
  }

  token(index: number, text: string): void {
    if (this.response.destroyed) return;
    if (!this.response.headersSent) this.#writeHead();
    const id = `id: ${this.metadata.requestId}:${String(index)}\n`;
    this.response.write(`${id}${this.#chunkPrefix}${JSON.stringify(text)}${this.#chunkSuffix}`);
    if (this.response.writableLength > MAX_BUFFERED_BYTES) this.response.destroy();
  }

  finish(usage: Usage): void {
    if (this.response.destroyed) return;
    if (!this.response.headersSent) this.#writeHead();
    const finalChunk = {
      id: this.metadata.requestId,
      object: this.metadata.style === 'chat' ? 'chat.completion.chunk' : 'text_completion',
      created: this.metadata.created,
      model: this.metadata.model,
      choices: [
        this.metadata.style === 'chat'
          ? { index: 0, delta: {}, finish_reason: FINISH_REASON }
          : { index: 0, text: '', finish_reason: FINISH_REASON },
      ],
      usage: usageBody(usage),
    };
    this.response.end(`data: ${JSON.stringify(finalChunk)}\n\ndata: [DONE]\n\n`);
  }

  fail(fault: Fault): void {
    if (!this.response.headersSent) {
      const headers = { [REQUEST_ID_HEADER]: this.metadata.requestId };
      return sendFault(this.response, fault, this.metadata.requestId, headers);
    }
    if (this.response.destroyed) return;
    this.response.end(`data: ${JSON.stringify(faultBody(fault, this.metadata.requestId))}\n\n`);
  }

  #writeHead(): void {
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      [REQUEST_ID_HEADER]: this.metadata.requestId,
    });
  }
}

/** Response that is sent as one JSON document after the last token. */
export class BufferedResponse implements CompletionResponse {
  readonly #tokenTexts: string[] = [];

  constructor(
    readonly response: ServerResponse,
    readonly metadata: ResponseMetadata,
  ) {}

  token(_index: number, text: string): void {
    this.#tokenTexts.push(text);
  }

  finish(usage: Usage): void {
    const text = this.#tokenTexts.join('');
    const isChat = this.metadata.style === 'chat';
    const body = {
      id: this.metadata.requestId,
      object: isChat ? 'chat.completion' : 'text_completion',
      created: this.metadata.created,
      model: this.metadata.model,
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
    sendJson(this.response, 200, body, { [REQUEST_ID_HEADER]: this.metadata.requestId });
  }

  fail(fault: Fault): void {
    const headers = { [REQUEST_ID_HEADER]: this.metadata.requestId };
    sendFault(this.response, fault, this.metadata.requestId, headers);
  }
}
