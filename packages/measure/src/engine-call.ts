import { Agent, request as startHttp } from 'node:http';
import type { LoadSample } from '@poppypond/load';

const MAX_SOCKETS = 4096;
const IDLE_MS = 30_000;
const agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, timeout: IDLE_MS });
const TOKEN_FRAME = 'id: ';
const DONE_FRAME = 'event: done';

/** Calls an engine stand-in without a gateway and times its first token. */
export function callEngine(
  url: string,
  requestId: string,
  prompt: string,
  maxTokens: number,
  startedAt: number,
): Promise<
  Pick<LoadSample, 'code' | 'requestId' | 'firstTokenMs' | 'totalMs' | 'tokens' | 'retryAfterMs'>
> {
  const body = JSON.stringify({ model: 'general', prompt, max_tokens: maxTokens });
  return new Promise((resolve) => {
    let firstTokenMs: number | undefined;
    let isDone = false;
    const end = () => {
      const totalMs = performance.now() - startedAt;
      const tokens = isDone ? maxTokens : 0;
      const code = isDone ? 'ok' : 'lost';
      resolve({ code, requestId, firstTokenMs, totalMs, tokens, retryAfterMs: undefined });
    };
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      'x-request': requestId,
      'x-attempt': '1',
    };
    const outgoing = startHttp(
      `${url}/generate`,
      { method: 'POST', agent, headers },
      (response) => {
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          if (chunk.includes(TOKEN_FRAME)) firstTokenMs ??= performance.now() - startedAt;
          isDone ||= chunk.includes(DONE_FRAME);
        });
        response.once('close', end);
      },
    );
    outgoing.once('error', end);
    outgoing.end(body);
  });
}
