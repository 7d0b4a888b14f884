import { SystemClock } from '@poppypond/core';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { BUDGET_USES, HostBudget } from '../host/host-budget.js';
import { DirectConnector } from '../connections/direct-connection.js';
import { ServerAttempt } from './server-attempt.js';

const SIZE = {
  firstWatermarkBytes: 100_000,
  secondWatermarkBytes: 150_000,
  limitBytes: 200_000,
  responseBytes: 25_000,
  processBytes: 0,
};

let server: Server | undefined;

afterEach(() => {
  server?.close();
  server?.closeAllConnections();
});

/** Runs one attempt whose events are never taken, at a server that answers with `answer`. */
async function attemptAt(answer: (response: ServerResponse) => void, wantsEvents: boolean) {
  const listening = createServer((message, response) => {
    message.resume();
    response.writeHead(200, { 'x-request': 'r-1' });
    answer(response);
  });
  server = listening;
  await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
  const bound = listening.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  const hostBudget = new HostBudget(SIZE);
  const attempt = new ServerAttempt(
    {
      server: {
        id: 'i-1',
        service: 'engines',
        address: '127.0.0.1',
        port,
        availabilityZone: 'zone-a',
        slots: 1,
        isDraining: false,
      },
      method: 'GET',
      path: '/',
      headers: ['Host', 'a'],
      body: Buffer.alloc(0),
      requestId: 'r-1',
      wantsEvents,
    },
    {
      clock: new SystemClock(),
      connector: new DirectConnector(new SystemClock()),
      hostBudget,
      parseResponseHead: ({ statusCode, headers }) => ({
        status: statusCode ?? 0,
        requestId: headers['x-request']?.toString(),
        isSigned: true,
        isNotExecuted: false,
        faultyEngine: undefined,
        word: { isLeaving: false, backoffMs: undefined },
        forwarded: [],
      }),
      onHead: () => undefined,
      onFrames: () => false,
    },
  );
  const end = await attempt.done;
  return { end, held: BUDGET_USES.map((use) => hostBudget.held(use)) };
}

const NOTHING_HELD = BUDGET_USES.map(() => 0);

describe('an attempt on a host with a budget', () => {
  it('ends without fault of the server if it aborts an answer that its caller does not read', async () => {
    const { end, held } = await attemptAt((response) => {
      response.write('data: 1\n\n');
      setTimeout(() => response.socket?.resetAndDestroy(), 100);
    }, true);
    expect(end).toMatchObject({ kind: 'not_taken', why: 'caller_too_slow' });
    expect(held).toEqual(NOTHING_HELD);
  });

  it('does not let a server wait for longer than a few seconds for a caller that does not read', async () => {
    const startedAtMs = performance.now();
    const { end, held } = await attemptAt((response) => response.write('data: 1\n\n'), true);
    expect(end).toMatchObject({ kind: 'not_taken', why: 'caller_too_slow' });
    expect(performance.now() - startedAtMs).toBeLessThan(5000);
    expect(held).toEqual(NOTHING_HELD);
  });

  it('takes in no more of an answer than the host can hold', async () => {
    const { end, held } = await attemptAt((response) => {
      response.end(Buffer.alloc(SIZE.limitBytes + 1));
    }, false);
    expect(end).toMatchObject({ kind: 'not_taken', why: 'host_full' });
    expect(held).toEqual(NOTHING_HELD);
  });
});
