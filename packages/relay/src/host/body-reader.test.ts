import { SystemClock } from '@poppypond/core';
import { createServer, request } from 'node:http';
import type { ClientRequest, Server } from 'node:http';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { CallerMessage } from '../server/caller-message.js';
import { BodyReader } from './body-reader.js';
import { HostBudget } from './host-budget.js';
import type { Reservation } from './host-budget.js';

const HALF_BYTES = 80_000;
/** Longer than the tests take. */
const STALLED_MS = 60_000;
/** Below the halves of eight bodies, and above those of four. */
const SIZE = {
  firstWatermarkBytes: 400_000,
  secondWatermarkBytes: 4_000_000,
  limitBytes: 4_800_000,
  responseBytes: 1000,
  processBytes: 0,
};

let budget: HostBudget;
let server: Server;
let port = 0;
let complete: Reservation[] = [];
let refused: string[] = [];

beforeEach(async () => {
  budget = new HostBudget(SIZE);
  complete = [];
  refused = [];
  const reader = new BodyReader(new SystemClock(), budget, {
    stalledAfterMs: () => STALLED_MS,
    stalledUnderPressureMs: STALLED_MS,
    stopping: () => undefined,
  });
  server = createServer({ IncomingMessage: CallerMessage }, (message, response) => {
    void reader.read(message, { maxBytes: 4 * HALF_BYTES }).then((body) => {
      if (body && 'held' in body) complete.push(body.held);
      else refused.push(body?.code ?? 'disconnected');
      response.end();
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  port = typeof bound === 'object' && bound ? bound.port : 0;
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

/** Sends the first half of a body. */
function sendHalf(): ClientRequest {
  const headers = { 'content-length': String(2 * HALF_BYTES) };
  const call = request({ port, method: 'POST', headers, agent: false }, (response) => {
    response.resume();
  });
  call.on('error', () => undefined);
  call.write(Buffer.alloc(HALF_BYTES));
  return call;
}

describe('BodyReader', () => {
  it('completes all bodies one after another although their first halves exceed the first watermark', async () => {
    const calls = Array.from({ length: 8 }, sendHalf);
    await vi.waitFor(() => {
      expect(budget.level).toBe('first');
    });
    for (const call of calls) call.end(Buffer.alloc(HALF_BYTES));
    await vi.waitFor(() => {
      for (const held of complete) held.end();
      expect(complete).toHaveLength(8);
    });
    expect([budget.usedBytes, budget.level]).toEqual([0, 'free']);
  });

  it('returns what it holds of a body whose caller disconnects or that is too large', async () => {
    const call = sendHalf();
    await vi.waitFor(() => {
      expect(budget.held('body')).toBe(HALF_BYTES);
    });
    call.destroy();
    const large = request({ port, method: 'POST', agent: false });
    large.on('error', () => undefined);
    large.end(Buffer.alloc(5 * HALF_BYTES));
    await vi.waitFor(() => {
      expect([...refused].sort()).toEqual(['body_too_large', 'disconnected']);
    });
    expect(budget.usedBytes).toBe(0);
  });

  it('refuses a body that exceeds what the host can hold', async () => {
    budget.reserve('caller').add(SIZE.limitBytes - HALF_BYTES / 2);
    sendHalf();
    await vi.waitFor(() => {
      expect(refused).toEqual(['host_full']);
    });
    expect(budget.held('body')).toBe(0);
  });
});
