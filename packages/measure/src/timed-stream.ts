import { Agent, request as startHttp } from 'node:http';
import type { LoadSample } from '@poppypond/load';

const MAX_SOCKETS = 4096;
const IDLE_TIMEOUT_MS = 30_000;
const agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, timeout: IDLE_TIMEOUT_MS });
const TOKEN_MARKER = 'id: ';

/** A streamed call to an engine or a gateway. */
export interface TimedCall {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly tokens: number;
  /** Text that occurs only at the end of a complete stream. */
  readonly doneMarker: string;
}

/** Outcome and times of a streamed call. */
export type TimedResult = Pick<
  LoadSample,
  'code' | 'requestId' | 'firstTokenMs' | 'totalMs' | 'tokens' | 'retryAfterMs'
>;

/**
 * Measures the times from `startedAt` to the first token and to the end of a stream. Does as little
 * work as possible, and the same for an engine and a gateway.
 */
export function timeStream(call: TimedCall, startedAt: number): Promise<TimedResult> {
  return new Promise((resolve) => {
    let firstTokenMs: number | undefined;
    let isDone = false;
    const end = () => {
      resolve({
        code: isDone ? 'ok' : 'lost',
        requestId: '',
        firstTokenMs,
        totalMs: performance.now() - startedAt,
        tokens: isDone ? call.tokens : 0,
        retryAfterMs: undefined,
      });
    };
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(call.body),
      ...call.headers,
    };
    const outgoing = startHttp(call.url, { method: 'POST', agent, headers }, (response) => {
      response.on('data', (chunk: Buffer) => {
        if (firstTokenMs === undefined && chunk.includes(TOKEN_MARKER)) {
          firstTokenMs = performance.now() - startedAt;
        }
        isDone ||= chunk.includes(call.doneMarker);
      });
      response.once('close', end);
    });
    outgoing.once('error', end);
    outgoing.end(call.body);
  });
}
