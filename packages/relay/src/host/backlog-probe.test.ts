import { SystemClock } from '@poppypond/core';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BacklogProbe } from './backlog-probe.js';

const LOOPBACK = '127.0.0.1';

describe('BacklogProbe', () => {
  let server: Server;
  let probe: BacklogProbe;

  beforeEach(async () => {
    server = createServer();
    await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
    const bound = server.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    probe = new BacklogProbe({ clock: new SystemClock(), address: LOOPBACK, port });
  });

  afterEach(() => {
    server.close();
  });

  it('measures the time until its own connection is accepted', async () => {
    const taken: boolean[] = [];
    server.on('connection', (socket) => taken.push(probe.takeAccepted(socket)));
    expect(await probe.measure()).toBeLessThan(300);
    expect(taken).toEqual([true]);
  });

  it('reports its longest wait if the connection is not accepted', async () => {
    expect(await probe.measure()).toBe(500);
  });

  it('tells nothing if nothing listens', async () => {
    await new Promise((resolve) => server.close(resolve));
    expect(await probe.measure()).toBe(0);
  });
});
