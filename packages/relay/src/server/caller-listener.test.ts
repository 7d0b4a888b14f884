import { SystemClock } from '@poppypond/core';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { createServer, connect } from 'node:net';
import { describe, expect, it, vi } from 'vitest';
import { budgetSizeOf } from '../host/budget-size.js';
import { BacklogProbe } from '../host/backlog-probe.js';
import { ConnectionAdmission } from '../host/connection-admission.js';
import { HostBudget } from '../host/host-budget.js';
import { HostFull } from '../host/host-full.js';
import type { RelayWire } from '../ports.js';
import type { CallerResponse } from '../request/caller-response.js';
import { CallerConnections } from './caller-connections.js';
import { CallerListener } from './caller-listener.js';
import { UnexpectedErrors } from '../unexpected-errors.js';

const LOOPBACK = '127.0.0.1';
const WIRE: RelayWire = {
  parseCallerHead: () => undefined,
  attemptHeaders: () => [],
  parseResponseHead: () => {
    throw new Error('the test has no servers');
  },
  refusalHeaders: () => [],
  readinessPath: '/ready',
};
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1000,
  headerTimeoutMs: 30_000,
  idleTimeoutMs: 60_000,
};
const HEAD = { status: 200, forwarded: [], requestId: undefined, isSigned: true } as const;
const RESPONSE_HEAD = {
  ...HEAD,
  isNotExecuted: false,
  faultyEngine: undefined,
  word: { isLeaving: false, backoffMs: undefined },
};

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const address = server.address();
  await new Promise((resolve) => server.close(resolve));
  return typeof address === 'object' && address ? address.port : 0;
}

const REQUEST = 'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody';

/** A listener that answers nothing, and the answers of its requests by the order of their arrival. */
async function startListener(isStopping = () => false) {
  const hostBudget = new HostBudget(budgetSizeOf(602));
  const metrics = new PrometheusMetrics();
  const answers: CallerResponse[] = [];
  /** Places of those whose caller has disconnected. */
  const disconnected: number[] = [];
  const listener = new CallerListener({
    clock: new SystemClock(),
    unexpectedErrors: new UnexpectedErrors(silentLog, new PrometheusMetrics()),
    wire: WIRE,
    limits: () => LIMITS,
    stalledAfterMs: () => LIMITS.idleTimeoutMs,
    stalledUnderPressureMs: LIMITS.idleTimeoutMs,
    refusalOf: () => undefined,
    connections: new CallerConnections({
      clock: new SystemClock(),
      log: silentLog,
      metrics,
      hostBudget,
      limits: {
        maxConnections: 100,
        maxReceiving: 100,
        maxParsingRestMs: 2000,
        maxUnwatched: 0,
        maxPipelined: 100,
        maxCostBytes: 100_000_000,
      },
      headTimeoutMs: () => LIMITS.headerTimeoutMs,
      idleTimeoutMs: () => LIMITS.idleTimeoutMs,
    }),
    isStopping,
    hostBudget,
    hostFull: new HostFull({ budget: hostBudget, log: silentLog, metrics, random: () => 0 }),
    admission: new ConnectionAdmission({
      clock: new SystemClock(),
      log: silentLog,
      metrics,
      readUtilization: () => 0,
      measureBacklogMs: () => Promise.resolve(0),
    }),
    backlogProbe: new BacklogProbe({ clock: new SystemClock(), address: LOOPBACK, port: 0 }),
    onRequest: ({ answer }) => {
      const index = answers.push(answer) - 1;
      return new Promise((resolve) => {
        answer.onDisconnect(() => {
          disconnected.push(index);
          resolve();
        });
      });
    },
  });
  const port = await findFreePort();
  await listener.listen(LOOPBACK, port);
  return { answers, disconnected, hostBudget, listener, port };
}

describe('CallerListener', () => {
  // Guards against bytes that stay counted because Node reports the loss of a connection only to
  // the first of its responses.
  it('returns the bytes of a second request on a connection whose caller goes away before the first has ended', async () => {
    const { answers, disconnected, hostBudget, listener, port } = await startListener();
    const caller = connect(port, LOOPBACK);
    caller.write(REQUEST + REQUEST);
    await vi.waitFor(() => expect(answers).toHaveLength(2));
    answers[1]?.writeEvents(RESPONSE_HEAD, Buffer.from('data: x\n\n'));
    expect(hostBudget.held('caller')).toBe(9);
    expect(hostBudget.held('body')).toBe(8);
    caller.destroy();
    await vi.waitFor(() => expect(disconnected.toSorted()).toEqual([0, 1]));
    await vi.waitFor(() => expect(hostBudget.held('body')).toBe(0));
    expect(hostBudget.held('caller')).toBe(0);
    listener.close();
  });

  // Guards against a warning of a leak on the error output of the host, which is none.
  it('adds no listener to a connection for each of its requests', async () => {
    const { answers, disconnected, listener, port } = await startListener();
    const warnings: string[] = [];
    const onWarning = ({ name }: Error) => warnings.push(name);
    process.on('warning', onWarning);
    const caller = connect(port, LOOPBACK);
    caller.write(REQUEST.repeat(20));
    await vi.waitFor(() => expect(answers).toHaveLength(20));
    const [first] = answers;
    const closeListeners = first?.response.socket?.listenerCount('close') ?? Infinity;
    expect(closeListeners).toBeLessThan(10);
    caller.destroy();
    await vi.waitFor(() => expect(disconnected).toHaveLength(20));
    process.off('warning', onWarning);
    expect(warnings).toEqual([]);
    listener.close();
  });

  // Guards against a response that is never written because an earlier one closes the connection.
  it.each([
    ['that both keep it', REQUEST],
    ['of which the second closes it', REQUEST.replace('Content', 'Connection: close\r\nContent')],
  ])('closes a connection after the last of two pipelined responses %s', async (_name, second) => {
    let isStopping = false;
    const { answers, listener, port } = await startListener(() => isStopping);
    const caller = connect(port, LOOPBACK);
    let text = '';
    caller.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
    caller.write(REQUEST + second);
    await vi.waitFor(() => expect(answers).toHaveLength(2));
    expect(listener.unfinishedCount).toBe(2);
    isStopping = true;
    answers[0]?.send(RESPONSE_HEAD, Buffer.from('first'));
    await vi.waitFor(() => expect(text).toContain('first'));
    expect(text).not.toMatch(/connection: close/i);
    answers[1]?.send(RESPONSE_HEAD, Buffer.from('second'));
    await new Promise((resolve) => caller.once('close', resolve));
    expect(text.split(/connection: close/i)).toHaveLength(2);
    expect(text).toMatch(/second$/);
    expect(listener.unfinishedCount).toBe(0);
    listener.close();
  });

  // Guards against a request that runs although its connection closes before its response.
  it('does not serve what is read after the response that closes its connection', async () => {
    const { answers, listener, port } = await startListener(() => true);
    const caller = connect(port, LOOPBACK);
    caller.on('error', () => undefined);
    caller.write(REQUEST);
    await vi.waitFor(() => expect(answers).toHaveLength(1));
    answers[0]?.writeEvents(RESPONSE_HEAD, Buffer.from('data: x\n\n'));
    caller.write(REQUEST);
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(answers).toHaveLength(1);
    expect(listener.unfinishedCount).toBe(1);
    answers[0]?.endEvents(RESPONSE_HEAD);
    caller.resume();
    await new Promise((resolve) => caller.once('close', resolve));
    await vi.waitFor(() => expect(listener.unfinishedCount).toBe(0));
    listener.close();
  });

  it('does not serve what follows a request that closes its connection', async () => {
    const { answers, listener, port } = await startListener();
    const caller = connect(port, LOOPBACK);
    caller.on('error', () => undefined);
    caller.write(REQUEST.replace('Content', 'Connection: close\r\nContent') + REQUEST);
    await vi.waitFor(() => expect(answers).toHaveLength(1));
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect(answers).toHaveLength(1);
    caller.destroy();
    listener.close();
  });
});
