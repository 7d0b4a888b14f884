import type { Milliseconds } from '@poppypond/core';
import { parseJson } from '@poppypond/core';
import { openHttp, readRetryAfter } from '@poppypond/web';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage } from 'eventsource-parser';
import type { IncomingMessage } from 'node:http';
import { z } from 'zod';

/** One attempt of a request on one engine. */
export interface AttemptCall {
  readonly engineUrl: string;
  readonly requestId: string;
  /** Increases with each attempt of a request; frames of older attempts are dropped. */
  readonly attempt: number;
  readonly owner: string;
  readonly dispatch: number;
  readonly priority: number;
  readonly timeRemainingMs: Milliseconds;
  /** Index of the first token that the engine is to send. */
  readonly resumeOffset: number;
  readonly maxTokens: number;
  /** The unchanged body of the caller, or the body for one part of its prompt. */
  readonly body: Buffer | string;
  /** Whether the engine may let the request wait for memory. */
  readonly mayWaitInEngine: boolean;
  readonly reservationId?: string;
  readonly isPrefillOnly?: boolean;
  /** `URL#RESERVATION` of the KV caches of the preceding parts of the prompt. */
  readonly imports?: readonly string[];
}

/** What the engine reports when it accepts an attempt. */
export interface AttemptAccepted {
  readonly reservation: string;
  readonly cachedTokens: number;
  readonly promptTokens: number;
}

/** Callbacks of a running attempt. */
export interface AttemptListener {
  onAccepted?(accepted: AttemptAccepted): void;
  /** Called in order of the indexes, once for each index. */
  onToken(index: number, text: string): void;
}

/**
 * How an attempt ended. `refused` and `not_sent` confirm that nothing was run;
 * after `cut` the engine may have run any part of it.
 */
export type AttemptEnd =
  | { readonly kind: 'done'; readonly promptTokens: number }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      /**
       * Time for which this host must send the engine no requests; undefined if the engine requests
       * no backoff.
       */
      readonly backoffMs?: Milliseconds | undefined;
    }
  | { readonly kind: 'not_sent'; readonly detail: string }
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'time_limit' }
  | { readonly kind: 'cancelled' };

const acceptedSchema = z.object({
  reservation: z.string(),
  cachedTokens: z.number(),
  promptTokens: z.number(),
});
const doneSchema = z.object({
  end: z.enum(['done', 'cancelled', 'time_limit']),
  promptTokens: z.number(),
});
const refusedSchema = z.object({ refused: z.string() });

const OK = 200;
const UNAVAILABLE = 503;

function headersOf(call: AttemptCall): Readonly<Record<string, string>> {
  return {
    'content-type': 'application/json',
    'x-request': call.requestId,
    'x-attempt': String(call.attempt),
    'x-owner': call.owner,
    'x-dispatch': String(call.dispatch),
    'x-priority': String(call.priority),
    'x-time-remaining-ms': String(Math.max(1, Math.floor(call.timeRemainingMs))),
    'x-resume-offset': String(call.resumeOffset),
    'x-max-tokens': String(call.maxTokens),
    'x-wait': call.mayWaitInEngine ? '1' : '0',
    'x-prefill-only': call.isPrefillOnly ? '1' : '0',
    ...(call.reservationId === undefined ? {} : { 'x-reservation': call.reservationId }),
    ...(call.imports?.length ? { 'x-imports': call.imports.join(',') } : {}),
  };
}

/**
 * Reads the frames of one attempt: drops those of other attempts, and accepts each index once, in
 * order.
 */
class FrameReader {
  #nextIndex: number;
  end: AttemptEnd | undefined;
  readonly #idPrefix: string;

  constructor(
    readonly call: AttemptCall,
    readonly listener: AttemptListener,
  ) {
    this.#nextIndex = call.resumeOffset;
    this.#idPrefix = `${String(call.attempt)}:`;
  }

  readonly read = ({ event, id, data }: EventSourceMessage): void => {
    if (this.end) return;
    if (event === 'accepted') return this.#accept(data);
    if (!id?.startsWith(this.#idPrefix)) return;
    if (event === 'done') return this.#finish(data);
    const index = Number(id.slice(this.#idPrefix.length));
    if (index < this.#nextIndex) return;
    if (index > this.#nextIndex) {
      this.end = { kind: 'cut', detail: `token ${String(this.#nextIndex)} is missing` };
      return;
    }
    this.#nextIndex += 1;
    this.listener.onToken(index, data);
  };

  #accept(data: string): void {
    const accepted = acceptedSchema.safeParse(parseJson(data));
    if (accepted.success) this.listener.onAccepted?.(accepted.data);
  }

  #finish(data: string): void {
    const done = doneSchema.safeParse(parseJson(data));
    if (!done.success) this.end = { kind: 'cut', detail: 'malformed done event' };
    else if (done.data.end === 'done' && this.#isComplete()) {
      this.end = { kind: 'done', promptTokens: done.data.promptTokens };
    } else if (done.data.end === 'time_limit') this.end = { kind: 'time_limit' };
    else this.end = { kind: 'cut', detail: `ended early (${done.data.end})` };
  }

  #isComplete(): boolean {
    return this.call.isPrefillOnly === true || this.#nextIndex === this.call.maxTokens;
  }
}

async function readText(response: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response) if (Buffer.isBuffer(chunk)) chunks.push(chunk);
  } catch {
    return '';
  }
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Reads a refusal. It counts only if its body is complete, as only then the engine has confirmed
 * it.
 */
async function readRefusal(response: IncomingMessage): Promise<AttemptEnd> {
  const refused = refusedSchema.safeParse(parseJson(await readText(response)));
  const { headers, statusCode } = response;
  const backoffMs = statusCode === UNAVAILABLE ? readRetryAfter(headers, Date.now()) : undefined;
  if (refused.success) return { kind: 'refused', reason: refused.data.refused, backoffMs };
  return { kind: 'cut', detail: `status ${String(response.statusCode)}` };
}

function readStream(
  response: IncomingMessage,
  reader: FrameReader,
  signal: AbortSignal,
): Promise<AttemptEnd> {
  return new Promise((resolve) => {
    const parser = createParser({ onEvent: reader.read });
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => {
      parser.feed(chunk);
      if (reader.end?.kind === 'cut') response.destroy();
    });
    response.once('error', () => undefined);
    response.once('close', () => {
      if (reader.end) resolve(reader.end);
      else if (signal.aborted) resolve({ kind: 'cancelled' });
      else resolve({ kind: 'cut', detail: 'the stream ended early' });
    });
  });
}

/**
 * Runs one attempt. Aborting `signal` closes the stream, which also cancels the attempt on the
 * engine.
 */
export async function runAttempt(
  call: AttemptCall,
  listener: AttemptListener,
  signal: AbortSignal,
): Promise<AttemptEnd> {
  if (signal.aborted) return { kind: 'cancelled' };
  const opened = await openHttp({
    method: 'POST',
    url: `${call.engineUrl}/generate`,
    headers: headersOf(call),
    body: call.body,
    timeoutMs: call.timeRemainingMs,
    signal,
  });
  if (opened.isErr) {
    const { reason, mayHaveArrived, detail } = opened.error;
    if (!mayHaveArrived) return { kind: 'not_sent', detail };
    if (reason === 'cancelled') return { kind: 'cancelled' };
    return reason === 'timeout' ? { kind: 'time_limit' } : { kind: 'cut', detail };
  }
  if (opened.value.statusCode !== OK) return readRefusal(opened.value);
  return readStream(opened.value, new FrameReader(call, listener), signal);
}
