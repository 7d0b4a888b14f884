import { SystemClock } from '@poppypond/core';
import { FollowedRequest, Quarantine } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { Measures, silentLog } from '@poppypond/telemetry';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import type { CallerHead } from '../ports.js';
import { ServerList } from '../store/server-list.js';
import { contentOf } from './request-content.js';
import { TerminationDetector } from './termination-detector.js';
import type { ProbedServer } from './termination-detector.js';
import { SharedQuarantine } from './shared-quarantine.js';

const CALLER: CallerHead = {
  requestId: 'r',
  method: 'POST',
  hostName: 'a.example',
  path: '/p',
  key: 'k',
  timeoutMs: undefined,
  promptTokens: 0,
  answerTokens: 0,
  lastEventId: undefined,
  forwarded: [],
};
/** Nothing listens there: it is below the ports that tests take. */
const REFUSING_PORT = 9;

const listening: Server[] = [];

afterEach(() => {
  for (const server of listening.splice(0)) server.close();
});

function serverAt(id: string, port: number, bornMs = 1): BackendServer {
  const place = { address: '127.0.0.1', port, availabilityZone: 'z' };
  return { id, service: 's', ...place, slots: 1, isDraining: false, startedAtMs: bornMs };
}

async function listen(): Promise<number> {
  const server = createServer();
  listening.push(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const bound = server.address();
  return typeof bound === 'object' && bound ? bound.port : 0;
}

function make() {
  const clock = new SystemClock();
  const servers = new ServerList(clock, silentLog);
  const shared = { clock, log: silentLog, measures: new Measures(), host: 'host-1' };
  const quarantine = new SharedQuarantine({ ...shared, quarantine: new Quarantine() });
  const found: ProbedServer[] = [];
  const follow = (body: string, caller = CALLER) => {
    const content = contentOf(caller, 'w', Buffer.from(body));
    const followed = new FollowedRequest(quarantine, content);
    const onFound = (server: ProbedServer) => found.push(server);
    return {
      followed,
      ends: new TerminationDetector({ clock, servers, onProbed: onFound }, followed),
    };
  };
  return { servers, follow, found };
}

describe('SharedQuarantine', () => {
  it('tells callers to come back when this host gives the trial, not when the first one would', async () => {
    const clock = new ManualClock();
    const shared = { clock, log: silentLog, measures: new Measures(), host: 'host-4' };
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

describe('RunEnds', () => {
  it('counts ends of attempts of one try and of others, whatever the identifiers of the tries', async () => {
    const { follow } = make();
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

  it('counts one end for an attempt, though its server and its readers are asked after', async () => {
    const { follow, found } = make();
    const run = follow('body');
    run.followed.begin('a');
    for (const id of ['writer', 'reader']) {
      await run.ends.probe('a', serverAt(id, REFUSING_PORT), 'broken');
    }
    expect(found.map(({ ends }) => ends)).toEqual([1, 1]);
  });

  it('counts no server that lives, but one whose next life is told soon after', async () => {
    const { servers, follow, found } = make();
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
});
