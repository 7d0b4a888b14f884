import { listen } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import { afterEach, describe, expect, it } from 'vitest';
import { callService } from './service-call.js';
import type { ServiceEnd } from './service-call.js';

let server: ListeningServer | undefined;

afterEach(async () => {
  await server?.close();
});

async function callWithResponse(
  status: number,
  headers: Readonly<Record<string, string>>,
): Promise<ServiceEnd> {
  server = await listen(
    (_request, response) => {
      response.writeHead(status, headers);
      response.end('{}');
    },
    '127.0.0.1',
    0,
  );
  return callService({
    method: 'GET',
    url: server.url,
    requestId: 'r',
    contentType: 'text/plain',
    body: Buffer.alloc(0),
    timeoutMs: 2000,
    signal: new AbortController().signal,
    mayRepeat: true,
  });
}

describe('callService', () => {
  it('reports the backoff that a service requests with a 503, whether it has run the call or not', async () => {
    const notRun = { 'x-not-run': '1', 'retry-after': '2.5' };
    expect(await callWithResponse(503, notRun)).toMatchObject({ kind: 'not_run', backoffMs: 2500 });
    await server?.close();
    const answered = await callWithResponse(503, { 'retry-after': '1' });
    expect(answered).toMatchObject({ kind: 'answered', backoffMs: 1000 });
  });

  it('reports no backoff for other responses', async () => {
    const answered = await callWithResponse(200, { 'retry-after': '1' });
    expect(answered).toMatchObject({ kind: 'answered', backoffMs: undefined });
  });
});
