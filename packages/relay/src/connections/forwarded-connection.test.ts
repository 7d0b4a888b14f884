import { createServer } from 'node:net';
import { describe, expect, it } from 'vitest';
import { connectThrough } from './forwarded-connection.js';

const SERVER = { id: 's-1', service: 'a', address: '127.0.0.1', port: 1, availabilityZone: 'z' };

/** Asks a peer that responds with these bytes to connect; returns why it did not. */
async function askPeer(bytes: string) {
  const listening = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.write(bytes));
  });
  await new Promise<void>((resolve) => listening.listen(0, '127.0.0.1', resolve));
  const bound = listening.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  const peer = { host: 'h-2', address: '127.0.0.1', port, availabilityZone: 'z', capacity: 1 };
  const { signal } = new AbortController();
  const server = { ...SERVER, slots: 1, isDraining: false };
  const connected = await connectThrough(peer, server, signal);
  listening.close();
  return connected.isErr ? connected.error.why : 'connected';
}

describe('connectThrough', () => {
  // Guards against a connection that neither comes up nor fails.
  it('fails at once if the peer switches protocols or answers with no final status', async () => {
    const switched = 'HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
    expect(await askPeer(switched)).toBe('unavailable');
    expect(await askPeer('HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n')).toBe('unavailable');
  });
});
