import { request } from 'node:http';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { describe, expect, it } from 'vitest';
import { receiveResponse } from './receive-response.js';

const LOOPBACK = '127.0.0.1';
const SETTLING_MS = 50;

/** Sends a request to a server that calls `answer`; returns all that the handlers were told. */
async function askServer(answer: (socket: Socket) => void): Promise<readonly string[]> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      answer(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const bound = server.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  const told: string[] = [];
  await new Promise<void>((resolve) => {
    const outgoing = request({ host: LOOPBACK, port, agent: false });
    outgoing.once('close', resolve);
    receiveResponse(outgoing, {
      onResponse: (response) => {
        told.push(`response ${String(response.statusCode)}`);
        response.on('error', () => undefined);
        response.resume();
      },
      onFailure: (detail) => {
        told.push(detail);
      },
    });
    outgoing.end();
  });
  await new Promise((resolve) => setTimeout(resolve, SETTLING_MS));
  server.close();
  return told;
}

function answeringStatus(status: string, headers = ''): (socket: Socket) => void {
  return (socket) => socket.end(`HTTP/1.1 ${status} X\r\n${headers}Content-Length: 0\r\n\r\n`);
}

describe('receiveResponse', () => {
  it.each(['200', '204', '404', '503', '599'])('passes on a response %s', async (status) => {
    expect(await askServer(answeringStatus(status))).toEqual([`response ${status}`]);
  });

  // Guards against a status that Node reads but refuses to write, which ended the relay.
  it.each(['000', '001', '099', '101', '600', '999'])(
    'reports a failure for status %s, which no final response has',
    async (status) => {
      expect(await askServer(answeringStatus(status))).toEqual([
        `status ${String(Number(status))} is not that of a final response`,
      ]);
    },
  );

  it('waits for the final response after interim ones', async () => {
    const told = await askServer((socket) =>
      socket.end('HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'),
    );
    expect(told).toEqual(['response 200']);
  });

  // Guards against a request that never ends: Node reports this by neither a response nor an error.
  it('reports a failure if the server switches protocols', async () => {
    const told = await askServer((socket) =>
      socket.write('HTTP/1.1 101 Switching\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nbytes'),
    );
    expect(told).toEqual(['the server switched protocols without being asked to']);
  });

  it('reports one failure for a connection that is reset or closed, or bytes that are not HTTP', async () => {
    expect(await askServer((socket) => socket.resetAndDestroy())).toHaveLength(1);
    expect(await askServer((socket) => socket.end())).toHaveLength(1);
    expect(await askServer((socket) => socket.end('nonsense\r\n\r\n'))).toHaveLength(1);
  });
});
