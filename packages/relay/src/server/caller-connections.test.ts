import { ManualClock } from '@poppypond/mocks';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { HostBudget } from '../host/host-budget.js';
import { CallerConnection } from './caller-connection.js';
import { CallerConnections } from './caller-connections.js';
import { CallerMessage } from './caller-message.js';

const LOOPBACK = '127.0.0.1';
const REQUEST = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
const HEAD_TIMEOUT_MS = 3000;
const IDLE_TIMEOUT_MS = 10_000;
const LIMITS = {
  maxConnections: 4,
  maxReceiving: 100,
  maxParsingRestMs: 2000,
  maxUnwatched: 0,
  maxPipelined: 2,
  maxCostBytes: 400_000,
};

let clock: ManualClock;
let connections: CallerConnections;
let server: Server;
let port = 0;
let callers: Socket[] = [];
/** Responses to the requests that were read, in order. */
let responses: ServerResponse[] = [];
let startedCount = 0;

beforeEach(async () => {
  clock = new ManualClock();
  connections = new CallerConnections({
    clock,
    log: silentLog,
    metrics: new PrometheusMetrics(),
    limits: LIMITS,
    hostBudget: new HostBudget(undefined),
    headTimeoutMs: () => HEAD_TIMEOUT_MS,
    idleTimeoutMs: () => IDLE_TIMEOUT_MS,
  });
  connections.start();
  callers = [];
  responses = [];
  startedCount = 0;
  server = createServer({ IncomingMessage: CallerMessage }, (message, response) => {
    const connection = CallerConnection.of(message.socket);
    if (!connection.add(response)) return;
    responses.push(response);
    message.resume();
    void connection.waitForTurn(response).then(() => (startedCount += 1));
  });
  server.on('connection', (socket) => {
    connections.add(socket);
  });
  port = await new Promise<number>((resolve) => {
    server.listen(0, LOOPBACK, () => {
      const bound = server.address();
      resolve(typeof bound === 'object' && bound ? bound.port : 0);
    });
  });
});

afterEach(() => {
  for (const caller of callers) caller.destroy();
  server.close();
  server.closeAllConnections();
});

/** Connects a caller that sends `text`. */
async function call(text = ''): Promise<Socket> {
  const caller = connect(port, LOOPBACK);
  caller.on('error', () => undefined);
  caller.resume();
  callers.push(caller);
  await new Promise((resolve) => caller.once('connect', resolve));
  if (text !== '') caller.write(text);
  return caller;
}

function acceptedCount(): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((_error, count) => {
      resolve(count);
    });
  });
}

describe('CallerConnections', () => {
  it('closes the oldest connection without a request when too many are open', async () => {
    const busy = await call(REQUEST);
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    const unused = [await call(), await call(), await call()];
    const added = await call(REQUEST);
    await vi.waitFor(() => expect(unused[0]?.destroyed).toBe(true));
    await vi.waitFor(() => expect(responses).toHaveLength(2));
    expect([busy, unused[1], unused[2], added].map((socket) => socket?.destroyed)).toEqual([
      false,
      false,
      false,
      false,
    ]);
  });

  it('closes a new connection if all others wait for a response', async () => {
    for (let index = 0; index < LIMITS.maxConnections; index += 1) await call(REQUEST);
    await vi.waitFor(() => expect(responses).toHaveLength(LIMITS.maxConnections));
    const added = await call(REQUEST);
    await vi.waitFor(() => expect(added.destroyed).toBe(true));
    expect(await acceptedCount()).toBe(LIMITS.maxConnections);
  });

  it('closes the connections with the costliest heads, and none with an ordinary request', async () => {
    const ordinary = await call(REQUEST);
    const costly = await call(`GET / HTTP/1.1\r\n${'abc:de\r\n'.repeat(2000)}`);
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    const costlier = await call(`GET / HTTP/1.1\r\n${'abc:de\r\n'.repeat(2500)}`);
    await vi.waitFor(() => expect(costlier.destroyed).toBe(true));
    expect([ordinary.destroyed, costly.destroyed, connections.isFull]).toEqual([
      false,
      false,
      false,
    ]);
  });

  it('starts few pipelined requests at a time, and all of them in the end', async () => {
    await call(REQUEST.repeat(7));
    await vi.waitFor(() => expect(responses).toHaveLength(7));
    for (let ended = 0; ended < 7; ended += 1) {
      await vi.waitFor(() => expect(startedCount).toBe(Math.min(7, ended + LIMITS.maxPipelined)));
      responses[ended]?.end('ok');
    }
  });

  it('keeps a connection that rests after a chunked request whose end arrived by itself', async () => {
    const caller = await call(
      'POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n',
    );
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    caller.write('0\r\n\r\n');
    await vi.waitFor(() => expect(responses[0]?.req.complete).toBe(true));
    responses[0]?.end('ok');
    await new Promise((resolve) => responses[0]?.once('close', resolve));
    await clock.advance(2 * HEAD_TIMEOUT_MS);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(caller.destroyed).toBe(false);
  });

  it('closes connections whose heads or first bytes do not arrive', async () => {
    const used = await call(REQUEST);
    await vi.waitFor(() => expect(responses).toHaveLength(1));
    responses[0]?.end('ok');
    const unused = await call();
    const open = await call('GET / HTTP/1.1\r\n');
    await vi.waitFor(async () => expect(await acceptedCount()).toBe(3));
    await new Promise((resolve) => setTimeout(resolve, 50));
    await clock.advance(HEAD_TIMEOUT_MS - 1000);
    expect([used, unused, open].map(({ destroyed }) => destroyed)).toEqual([false, false, false]);
    await clock.advance(1500);
    await vi.waitFor(() => expect(open.destroyed).toBe(true));
    expect(unused.destroyed).toBe(false);
    await clock.advance(IDLE_TIMEOUT_MS);
    await vi.waitFor(() => expect(unused.destroyed).toBe(true));
    expect(used.destroyed).toBe(false);
  });
});
