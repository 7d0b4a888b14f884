import { SystemClock } from '@poppypond/core';
import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';
import { probeServer } from './server-probe.js';

describe('probeServer', () => {
  it('distinguishes a process that listens, even if it resets connections, from one that has ended', async () => {
    const listening = createServer((socket) => socket.resetAndDestroy());
    await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
    const bound = listening.address();
    const port = typeof bound === 'object' && bound ? bound.port : 0;
    const server = { address: '127.0.0.1', port };
    expect(await probeServer(new SystemClock(), server)).toBe('listening');
    await new Promise((resolve) => listening.close(resolve));
    expect(await probeServer(new SystemClock(), server)).toBe('refused');
  });
});
