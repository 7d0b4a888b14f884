import { Agent, request as startHttp } from 'node:http';
import { parseJson, isResultName } from '@poppypond/core';
import type { ResultName } from '@poppypond/core';
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

/** A completion call whose response is streamed. */
export interface StreamCall {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly timeLimitMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly signal?: AbortSignal;
}

/** Result of a streamed call as its caller saw it. `lost`: neither an end nor an error arrived. */
export interface StreamOutcome {
  readonly code: ResultName | 'lost';
  readonly requestId: string;
  readonly text: string;
  readonly tokens: number;
  /** Index of the last token received; -1 if there was none. */
  readonly lastIndex: number;
  readonly firstTokenMs: number | undefined;
  readonly totalMs: number;
  readonly retryAfterMs: number | undefined;
}

const MAX_SOCKETS = 4096;
/** Shorter than the time for which the gateway keeps an idle connection open. */
const IDLE_TIMEOUT_MS = 30_000;
const agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, timeout: IDLE_TIMEOUT_MS });

const chunkSchema = z.object({ choices: z.array(z.object({ text: z.string() })).min(1) });
const errorSchema = z.object({
  error: z.object({ code: z.string(), retry_after_ms: z.number().optional() }),
});

interface StreamProgress {
  requestId: string;
  text: string;
  tokens: number;
  lastIndex: number;
  firstTokenAtMs: number | undefined;
  isDone: boolean;
  code: ResultName | undefined;
  retryAfterMs: number | undefined;
}

function recordError(seen: StreamProgress, value: unknown): boolean {
  const error = errorSchema.safeParse(value);
  if (!error.success) return false;
  const { code, retry_after_ms } = error.data.error;
  if (isResultName(code)) seen.code = code;
  seen.retryAfterMs = retry_after_ms;
  return true;
}

function recordEvent(seen: StreamProgress, id: string | undefined, data: string): void {
  if (data === '[DONE]') {
    seen.isDone = true;
    return;
  }
  const value = parseJson(data);
  if (recordError(seen, value)) return;
  const chunk = chunkSchema.safeParse(value);
  const text = chunk.success ? (chunk.data.choices[0]?.text ?? '') : '';
  if (text === '') return;
  seen.firstTokenAtMs ??= performance.now();
  seen.text += text;
  seen.tokens += 1;
  const index = Number(id?.split(':')[1] ?? Number.NaN);
  if (Number.isInteger(index)) seen.lastIndex = index;
}

function toOutcome(seen: StreamProgress, startedAtMs: number): StreamOutcome {
  const { requestId, text, tokens, lastIndex, firstTokenAtMs, retryAfterMs } = seen;
  return {
    code: seen.isDone ? 'ok' : (seen.code ?? 'lost'),
    requestId,
    text,
    tokens,
    lastIndex,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - startedAtMs,
    totalMs: performance.now() - startedAtMs,
    retryAfterMs,
  };
}

/**
 * Makes a streamed call and reads the response to its end; never rejects. Times are measured from
 * `startedAtMs`, in milliseconds of `performance.now`.
 */
export function callStream(
  call: StreamCall,
  startedAtMs = performance.now(),
): Promise<StreamOutcome> {
  const seen: StreamProgress = {
    requestId: '',
    text: '',
    tokens: 0,
    lastIndex: -1,
    firstTokenAtMs: undefined,
    isDone: false,
    code: undefined,
    retryAfterMs: undefined,
  };
  const { model, prompt, maxTokens } = call;
  const body = JSON.stringify({ model, max_tokens: maxTokens, stream: true, prompt });
  return new Promise((resolve) => {
    const end = () => {
      resolve(toOutcome(seen, startedAtMs));
    };
    const outgoing = startHttp(
      `${call.url}/v1/completions`,
      {
        method: 'POST',
        agent,
        headers: {
          authorization: `Bearer ${call.key}`,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          ...(call.timeLimitMs === undefined
            ? {}
            : { 'x-poppypond-time-limit-ms': String(call.timeLimitMs) }),
          ...call.headers,
        },
        ...(call.signal ? { signal: call.signal } : {}),
      },
      (response) => {
        seen.requestId = String(response.headers['x-poppypond-request'] ?? '');
        response.setEncoding('utf8');
        response.once('error', () => undefined);
        response.once('close', end);
        if (response.statusCode !== 200) {
          let text = '';
          response.on('data', (chunk: string) => (text += chunk));
          response.once('end', () => recordError(seen, parseJson(text)));
          return;
        }
        const parser = createParser({
          onEvent: ({ id, data }) => {
            recordEvent(seen, id, data);
          },
        });
        response.on('data', (chunk: string) => {
          parser.feed(chunk);
        });
      },
    );
    outgoing.once('error', end);
    outgoing.end(body);
  });
}
