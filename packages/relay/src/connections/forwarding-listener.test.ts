import { SystemClock } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { request } from 'node:http';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { PeerAddress } from '../peers/peer-list.js';
import { connectThrough } from './forwarded-connection.js';
import { ForwardingListener } from './forwarding-listener.js';
import { Reachability } from './reachability.js';
import { UnexpectedErrors } from '../unexpected-errors.js';

const LOOPBACK = '127.0.0.1';
const NEVER = new AbortController().signal;
const BODY = 'x'.repeat(300_000);

async function listenAnywhere(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : 0;
}

async function freePort(): Promise<number> {
  const server = createServer();
  const port = await listenAnywhere(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}

describe('ForwardingListener', () => {
  const clock = new SystemClock();
  let backend: Server;
  let listed: BackendServer;
  let peer: PeerAddress;
  let listener: ForwardingListener;
  let reachability: Reachability;
  let isPeer = true;
  let others: BackendServer[] = [];
  let onConnection: (socket: Socket) => void = () => undefined;

  beforeEach(async () => {
    isPeer = true;
    others = [];
    backend = createServer((socket) => {
      socket.on('error', () => undefined);
      onConnection(socket);
    });
    const port = await listenAnywhere(backend);
    const place = { address: LOOPBACK, port, availabilityZone: 'z' };
    listed = { id: 's/1', service: 'a', ...place, slots: 1, isDraining: false };
    const metrics = new PrometheusMetrics();
    reachability = new Reachability({ clock, log: silentLog, metrics });
    listener = new ForwardingListener({
      clock,
      metrics,
      reachability,
      unexpectedErrors: new UnexpectedErrors(silentLog, new PrometheusMetrics()),
      isPeerAddress: () => isPeer,
      findServer: (id) => (id === listed.id ? listed : undefined),
      othersOf: () => others,
      isClosed: () => false,
    });
    const peerPort = await freePort();
    await listener.listen(LOOPBACK, peerPort);
    peer = { ...place, host: 'h-2', port: peerPort, capacity: 1 };
  });
  afterEach(() => {
    listener.close();
    backend.close();
  });

  const whyNot = async (server = listed) => {
    const connected = await connectThrough(peer, server, NEVER);
    return connected.isErr ? connected.error.why : 'connected';
  };

  /** Sends a request over a forwarded connection; returns the body and whether it is complete. */
  async function exchange() {
    const connected = await connectThrough(peer, listed, NEVER);
    if (connected.isErr) throw new Error(connected.error.detail);
    const connection = connected.value;
    return new Promise<{ readonly bytes: number; readonly isComplete: boolean }>((resolve) => {
      const call = request({ createConnection: () => connection }, (response) => {
        let bytes = 0;
        response.on('data', (chunk: Buffer) => (bytes += chunk.length));
        response.on('error', () => undefined);
        response.once('close', () => {
          resolve({ bytes, isComplete: response.complete && !connection.errored });
        });
      });
      call.on('error', () => {
        resolve({ bytes: 0, isComplete: false });
      });
      call.end();
    });
  }

  it('passes on a response that ends with its connection', async () => {
    onConnection = (socket) => {
      socket.once('data', () => socket.end(`HTTP/1.1 200 OK\r\n\r\n${BODY}`));
    };
    expect(await exchange()).toEqual({ bytes: BODY.length, isComplete: true });
  });

  it('does not let a response without a length look complete if the forwarding host ends', async () => {
    onConnection = (socket) => {
      socket.once('data', () => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${BODY}`, () =>
          setTimeout(() => listener.close(), 20),
        );
      });
    };
    expect((await exchange()).isComplete).toBe(false);
  });

  it('does not let a response without a length look complete if the server resets it', async () => {
    onConnection = (socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\npart', () => socket.resetAndDestroy());
      });
    };
    expect((await exchange()).isComplete).toBe(false);
  });

  it('closes the connection to the server when the asking host closes its own', async () => {
    const closed = new Promise((resolve) => {
      onConnection = (socket) => {
        socket.resume();
        socket.once('close', resolve);
      };
    });
    const connected = await connectThrough(peer, listed, NEVER);
    if (connected.isOk) connected.value.destroy();
    await closed;
    expect(listener.openCount).toBe(0);
  });

  it('tells a server that refuses connections from one that it did not try', async () => {
    onConnection = (socket) => socket.destroy();
    expect(await whyNot()).toBe('connected');
    expect(await whyNot({ ...listed, id: 'unlisted' })).toBe('unavailable');
    backend.close();
    await once(backend, 'close');
    expect(await whyNot()).toBe('refused');
    for (const id of ['a', 'b', 'c']) reachability.recordUnreached({ ...listed, id }, true);
    expect(await whyNot()).toBe('unavailable');
  });

  // Guards against a host that takes itself for partitioned, as its peers are idle and tell nothing.
  it('tells that a server refuses connections also if this host was idle, unless it reaches no other', async () => {
    const other = createServer((socket) => socket.destroy());
    const port = await listenAnywhere(other);
    backend.close();
    expect(await whyNot()).toBe('unavailable');
    others = [{ ...listed, id: 'other', port }];
    expect(await whyNot()).toBe('refused');
    other.close();
  });

  it('refuses hosts that are no peers, and survives heads that are no requests of a peer', async () => {
    isPeer = false;
    expect(await whyNot()).toBe('unavailable');
    isPeer = true;
    const socket = connect(peer.port, LOOPBACK);
    socket.end('POST /forward/%E0%A4%A HTTP/1.1\r\nHost: a\r\n\r\n');
    socket.resume();
    await once(socket, 'close');
    onConnection = (connection) => connection.destroy();
    expect(await whyNot()).toBe('connected');
  });
});
