import { listen } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import type { ServerResponse } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { runAttempt } from './attempt.js';
import type { AttemptEnd } from './attempt.js';

let server: ListeningServer | undefined;

afterEach(async () => {
  await server?.close();
});

const frame = (attempt: number, index: number, text: string) =>
  `id: ${String(attempt)}:${String(index)}\ndata: ${text}\n\n`;
const done = (attempt: number, end = 'done') =>
  `event: done\nid: ${String(attempt)}:end\ndata: {"end":"${end}","promptTokens":5}\n\n`;

async function attempt(
  write: (response: ServerResponse) => void,
  resumeOffset = 0,
): Promise<{ readonly end: AttemptEnd; readonly texts: readonly string[] }> {
  server = await listen(
    (_request, response) => {
      write(response);
    },
    '127.0.0.1',
    0,
  );
  const texts: string[] = [];
  const call = {
    engineUrl: server.url,
    requestId: 'r',
    attempt: 2,
    owner: 'h/i',
    dispatch: 1,
    priority: 5,
    timeRemainingMs: 2000,
    resumeOffset,
    maxTokens: 3,
    body: '{}',
    mayWaitInEngine: false,
  };
  const listener = { onToken: (_index: number, text: string) => texts.push(text) };
  const end = await runAttempt(call, listener, new AbortController().signal);
  return { end, texts };
}

describe('runAttempt', () => {
  it('delivers each token once, in order, and drops frames of older attempts', async () => {
    const { end, texts } = await attempt((response) => {
      response.writeHead(200);
      const frames = [
        frame(2, 0, 'a'),
        frame(2, 0, 'a'),
        frame(1, 1, 'old'),
        done(1),
        frame(2, 1, 'b'),
      ];
      response.end([...frames, frame(2, 2, 'c'), done(2)].join(''));
    });
    expect(end.kind).toBe('done');
    expect(texts).toEqual(['a', 'b', 'c']);
  });

  it.each([
    ['a gap', frame(2, 0, 'a') + frame(2, 2, 'c') + done(2)],
    ['an early end', frame(2, 0, 'a')],
    ['a claim to be done before the last token', frame(2, 0, 'a') + done(2)],
    ['a cancelled end', frame(2, 0, 'a') + done(2, 'cancelled')],
  ])('reports %s as cut, never as done', async (_name, text) => {
    const { end } = await attempt((response) => response.writeHead(200).end(text));
    expect(end.kind).toBe('cut');
  });

  it('resumes from an offset', async () => {
    const { end, texts } = await attempt(
      (response) => response.writeHead(200).end(frame(2, 1, 'b') + frame(2, 2, 'c') + done(2)),
      1,
    );
    expect([end.kind, texts]).toEqual(['done', ['b', 'c']]);
  });

  it('reports a refusal only if its body is complete', async () => {
    const complete = await attempt((response) =>
      response.writeHead(409).end('{"refused":"no_memory"}'),
    );
    expect(complete.end).toEqual({ kind: 'refused', reason: 'no_memory' });
    await server?.close();
    const cut = await attempt((response) => {
      response.writeHead(409, { 'content-length': '100' });
      response.write('{"refused":');
      setImmediate(() => response.destroy());
    });
    expect(cut.end.kind).toBe('cut');
  });

  it('reports that nothing was sent if no process listens', async () => {
    await attempt((response) => response.writeHead(200).end(done(2)));
    const url = server?.url ?? '';
    await server?.close();
    const call = {
      engineUrl: url,
      requestId: 'r',
      attempt: 1,
      owner: 'h/i',
      dispatch: 1,
      priority: 5,
      timeRemainingMs: 1000,
      resumeOffset: 0,
      maxTokens: 1,
      body: '{}',
      mayWaitInEngine: false,
    };
    const end = await runAttempt(call, { onToken: () => undefined }, new AbortController().signal);
    expect(end.kind).toBe('not_sent');
  });
});
