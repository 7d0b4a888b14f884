import { delay, SystemClock } from '@poppypond/core';
import { FollowedRequest, Quarantine } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallerHead } from '../ports.js';
import { ServerList } from '../store/server-list.js';
import { DirectConnector } from '../connections/direct-connection.js';
import { contentOf } from './request-content.js';
import { TerminationDetector } from './termination-detector.js';
import type { ProbedServer } from './termination-detector.js';
import { PartQuarantine } from './part-quarantine.js';
import { SharedQuarantine } from './shared-quarantine.js';
import { TerminationTracker } from './termination-tracker.js';

const CALLER: CallerHead = {
  requestId: 'r',
  method: 'POST',
  hostName: 'a.example',
  path: '/p',
  key: 'k',
  timeoutMs: undefined,
  promptTokens: 0,
  answerTokens: 0,
  sharedParts: [],
  lastEventId: undefined,
  forwarded: [],
};
/** No process listens on this port: it is below the range that tests use. */
const REFUSING_PORT = 9;

const listening: Server[] = [];

afterEach(() => {
  for (const server of listening.splice(0)) server.close();
});

function serverAt(id: string, port: number, startedAtMs = 1): BackendServer {
  const place = { address: '127.0.0.1', port, availabilityZone: 'z' };
  return { id, service: 's', ...place, slots: 1, isDraining: false, startedAtMs };
}

async function listen(): Promise<number> {
  const server = createServer();
  listening.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : 0;
}

function createDetector() {
  const clock = new SystemClock();
  const connector = new DirectConnector(clock);
  const servers = new ServerList(clock, silentLog);
  const status: { startedAtMs?: number; delayMs?: number } = {};
  const readStatus = async () => {
    await delay(clock, status.delayMs ?? 0);
    return { running: 0, memoryTokens: 0, startedAtMs: status.startedAtMs };
  };
  const memory = { readStatus };
  const shared = { clock, log: silentLog, metrics: new PrometheusMetrics(), host: 'host-1' };
  const quarantine = new SharedQuarantine({ ...shared, quarantine: new Quarantine() });
  const partQuarantine = new PartQuarantine({ ...shared, quarantine });
  const found: ProbedServer[] = [];
  const follow = (body: string, caller = CALLER) => {
    const content = contentOf(caller, 'w', Buffer.from(body));
    const tracked = { service: 's', content, sharedParts: caller.sharedParts };
    const followed = new TerminationTracker({ clock, quarantine, partQuarantine }, tracked);
    const onProbed = (server: ProbedServer) => found.push(server);
    return {
      followed,
      ends: new TerminationDetector({ clock, connector, servers, memory, onProbed }, followed),
    };
  };
  return { servers, follow, found, status };
}

describe('SharedQuarantine', () => {
  it('returns the time until this host, not the first in rank, allows the trial run', async () => {
    const clock = new ManualClock();
    const shared = { clock, log: silentLog, metrics: new PrometheusMetrics(), host: 'host-4' };
    const quarantine = new SharedQuarantine({ ...shared, quarantine: new Quarantine() });
    quarantine.setRankSource(() => 3);
    const followed = () => new FollowedRequest(quarantine, contentOf(CALLER, 'w', Buffer.from('')));
    const run = followed();
    for (const attempt of ['a', 'b', 'c']) {
      run.begin(attempt);
      run.onTerminated(attempt, attempt);
    }
    expect(followed().checkHold()?.forMs).toBe(21_500);
    await clock.advance(21_000);
    expect(followed().checkHold()?.forMs).toBe(500);
    await clock.advance(500);
    expect(followed().checkHold()).toBeUndefined();
  });
});

describe('TerminationDetector', () => {
  it('counts terminations over all tries of a request, whatever the identifiers of the tries', async () => {
    const { follow } = createDetector();
    const first = follow('body');
    for (const attempt of ['a', 'b']) {
      first.followed.begin(attempt);
      await first.ends.probe(attempt, serverAt(attempt, REFUSING_PORT), 'broken');
      expect(first.followed.checkHold()).toBeUndefined();
    }
    const second = follow('body', { ...CALLER, requestId: 'another' });
    expect(second.followed.checkHold()).toBeUndefined();
    second.followed.begin('c');
    await second.ends.probe('c', serverAt('c', REFUSING_PORT), 'broken');
    const held = second.followed.checkHold();
    expect(held?.entry.lastTerminations.map(({ server }) => server)).toEqual(['a', 'b', 'c']);
    expect(follow('body').followed.checkHold()).toBeDefined();
    expect(follow('other').followed.checkHold()).toBeUndefined();
    expect(follow('body', { ...CALLER, path: '/q' }).followed.checkHold()).toBeUndefined();
  });

  it('counts one termination for an attempt whose decode and prefill engines both terminated', async () => {
    const { follow, found } = createDetector();
    const run = follow('body');
    run.followed.begin('a');
    for (const id of ['writer', 'reader']) {
      await run.ends.probe('a', serverAt(id, REFUSING_PORT), 'broken');
    }
    expect(found.map(({ ends }) => ends)).toEqual([1, 1]);
  });

  it('does not count a server that accepts connections, unless its next incarnation is listed soon after', async () => {
    const { servers, follow, found } = createDetector();
    const server = serverAt('s1', await listen());
    servers.replace([server], 0, 1);
    const run = follow('body');
    run.followed.begin('a');
    await run.ends.probe('a', server, 'broken');
    expect(found.map((each) => [each.found, each.ends])).toEqual([['listening', 0]]);
    servers.replace([{ ...server, startedAtMs: 2 }], 0, 2);
    expect(found.map((each) => [each.found, each.ends])).toEqual([
      ['listening', 0],
      ['started_again', 1],
    ]);
  });

  // Guards against an open port that passes for proof that the server did not restart.
  it('tells by the stated start time which incarnation answers at the address', async () => {
    const { follow, found, status } = createDetector();
    const server = serverAt('s1', await listen(), 5);
    const run = follow('body');
    for (const startedAtMs of [5, 6]) {
      status.startedAtMs = startedAtMs;
      run.followed.begin(String(startedAtMs));
      await run.ends.probe(String(startedAtMs), server, 'broken');
    }
    expect(found.map((each) => [each.found, each.ends])).toEqual([
      ['running', 0],
      ['started_again', 1],
    ]);
  });

  // Guards against a complete response that is lost because its server answers a status query late.
  it('waits for a late status only if the request may not be repeated', async () => {
    const { follow, status } = createDetector();
    const server = serverAt('s1', await listen(), 5);
    Object.assign(status, { startedAtMs: 5, delayMs: 350 });
    const { ends } = follow('body');
    expect(await ends.probeAtEnd('a', server, 'ended', true)).toBe('unknown');
    expect(await ends.probeAtEnd('b', server, 'ended', false)).toBe('running');
  });

  // Guards against a hold after fewer restarts than it needs: two attempts that lost their
  // connections to one server were both counted when that server restarted once.
  it('counts one restart of a server once, whichever attempts of the request it ended', async () => {
    const { servers, follow } = createDetector();
    const server = serverAt('s1', await listen());
    servers.replace([server], 0, 1);
    const run = follow('body');
    for (const attempt of ['a', 'b']) {
      run.followed.begin(attempt);
      await run.ends.probe(attempt, server, 'broken');
    }
    const next = { ...server, startedAtMs: 2 };
    servers.replace([next], 0, 2);
    expect(run.followed.ends).toBe(1);
    run.followed.begin('c');
    await run.ends.probe('c', next, 'broken');
    servers.replace([{ ...server, startedAtMs: 3 }], 0, 3);
    expect(run.followed.ends).toBe(2);
  });

  // Guards against a restart that is never counted because an attempt reported it that had counted
  // before, with another of its servers.
  it('counts the end of a server by another attempt if the first that reports it has counted already', () => {
    const { follow } = createDetector();
    const [one, other] = [serverAt('s1', REFUSING_PORT), serverAt('s2', REFUSING_PORT)];
    const run = follow('body');
    for (const attempt of ['a', 'b']) run.followed.begin(attempt);
    run.ends.onRestarted('a', one);
    run.ends.onRestarted('a', other);
    expect(run.followed.ends).toBe(1);
    run.ends.onRestarted('b', other);
    expect(run.followed.ends).toBe(2);
  });
});
