import { ServerBackoffs, ServerLimits } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { engineServer, ManualClock } from '@poppypond/mocks';
import { Measures, silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import type { ServerNotice } from '../ports.js';
import { ServerList } from '../store/server-list.js';
import { SendGate } from './send-gate.js';
import { ServerNotices } from './server-notices.js';

const SERVES_ON_MS = 1800;
const SERVERS = ['i-1', 'i-2', 'i-3'].map((id) => engineServer(id));
const [ONE, TWO, THREE] = SERVERS;
const SERVICE = ONE?.service ?? '';
const LEAVES: ServerNotice = { isLeaving: true, backoffMs: undefined };
const draw = () => 0;

function restsFor(restMs: number): ServerNotice {
  return { isLeaving: false, backoffMs: restMs };
}

/** A host that knows three servers and nothing of them. */
function gateOfHost() {
  const clock = new ManualClock();
  const servers = new ServerList(clock, silentLog, SERVES_ON_MS);
  servers.replace(SERVERS, 0, 1);
  const rests = new ServerBackoffs(draw);
  const measures = new Measures();
  const shared = { clock, servers, rests, limits: new ServerLimits() };
  const notices = new ServerNotices({ ...shared, log: silentLog, measures, host: 'host-1' });
  return { clock, servers, notices, gate: new SendGate({ ...shared, random: draw }) };
}

function take(gate: SendGate, server: BackendServer | undefined, readers: BackendServer[] = []) {
  if (!server) throw new Error('no server');
  return gate.tryTake({ attemptId: `to-${server.id}`, server, readers })?.why;
}

function hear(notices: ServerNotices, server: BackendServer | undefined, word: ServerNotice) {
  if (server) notices.recordNotice(server, word);
}

describe('SendGate', () => {
  it('lets nothing to a server that has said that it leaves, whatever its entry says later', async () => {
    const { clock, gate, notices, servers } = gateOfHost();
    hear(notices, ONE, LEAVES);
    expect(take(gate, ONE)).toBe('leaves');
    expect(gate.excludedIds(SERVICE)).toEqual(['i-1']);
    await clock.advance(10_000);
    servers.replace(SERVERS, clock.monotonicMs(), 2);
    expect(take(gate, ONE)).toBe('leaves');
    expect(gate.usable(SERVICE)).toEqual([TWO, THREE]);
  });

  it('takes what one says of a life that is over for nothing', () => {
    const { gate, notices, servers } = gateOfHost();
    const born = SERVERS.map((server) => ({ ...server, startedAtMs: 2000 }));
    servers.replace(born, 0, 2);
    if (ONE)
      notices.recordNotice({ ...ONE, startedAtMs: 1000 }, { isLeaving: true, backoffMs: 3000 });
    expect(take(gate, born[0])).toBeUndefined();
  });

  it('lets requests to one that leaves for a while, only where no other may take them', async () => {
    const { clock, gate, notices } = gateOfHost();
    hear(notices, ONE, LEAVES);
    hear(notices, TWO, restsFor(5000));
    expect(take(gate, ONE)).toBe('leaves');
    hear(notices, THREE, restsFor(5000));
    expect(gate.usable(SERVICE)).toEqual([ONE]);
    expect(take(gate, ONE)).toBeUndefined();
    await clock.advance(SERVES_ON_MS);
    expect(take(gate, ONE)).toBe('leaves');
    expect(gate.nextMs(SERVICE)).toBe(5000 - SERVES_ON_MS);
  });

  it('lets nothing to a server that rests, nor has it read a part', async () => {
    const { clock, gate, notices } = gateOfHost();
    hear(notices, ONE, restsFor(3000));
    expect(take(gate, ONE)).toBe('rests');
    expect(take(gate, TWO, ONE ? [ONE] : [])).toBe('rests');
    expect(gate.excludedIds(SERVICE)).toEqual(['i-1']);
    await clock.advance(3000);
    expect(take(gate, ONE)).toBeUndefined();
    expect(take(gate, ONE)).toBe('rests');
  });

  it('tells when the first is back where all rest, and nothing where none is listed', async () => {
    const { clock, gate, notices, servers } = gateOfHost();
    expect(gate.nextMs(SERVICE)).toBe(0);
    hear(notices, ONE, restsFor(3000));
    hear(notices, TWO, restsFor(2000));
    hear(notices, THREE, restsFor(4000));
    await clock.advance(500);
    expect(gate.nextMs(SERVICE)).toBe(1500);
    servers.replace([], clock.monotonicMs(), 2);
    expect(gate.nextMs(SERVICE)).toBeUndefined();
  });

  it('lets nothing to a server that names a limit without a place that was given, and is still good', async () => {
    const { clock, gate, notices } = gateOfHost();
    const limit = { kind: 'named', perSecond: 2 } as const;
    hear(notices, ONE, { isLeaving: false, backoffMs: undefined, limit });
    expect(take(gate, ONE)).toBe('limited');
    expect(take(gate, TWO, ONE ? [ONE] : [])).toBe('limited');
    expect(take(gate, TWO)).toBeUndefined();
    const permit = { serverIds: ['i-1'], givenAtMs: clock.monotonicMs() };
    const attempt = { attemptId: 'a', readers: [], permit };
    expect(ONE && gate.tryTake({ ...attempt, server: ONE })).toBeUndefined();
    gate.onPause();
    expect(ONE && gate.tryTake({ ...attempt, server: ONE })?.why).toBe('limited');
    await clock.advance(1500);
    expect(ONE && gate.tryTake({ ...attempt, server: ONE })?.why).toBe('limited');
  });

  it('asks a server that names a limit nothing without a place, and has its orders counted', async () => {
    const { gate, notices } = gateOfHost();
    const used: string[] = [];
    let places = 1;
    gate.setPermitSource({
      tryTake: ({ id }) => {
        places -= 1;
        return Promise.resolve(places >= 0 ? { serverIds: [id], givenAtMs: 0 } : undefined);
      },
      noteUsed: ({ id }) => used.push(id),
    });
    const limit = { kind: 'named', perSecond: 2 } as const;
    hear(notices, ONE, { isLeaving: false, backoffMs: undefined, limit });
    expect(ONE && (await gate.tryQuestion(ONE))).toBe(true);
    expect(ONE && (await gate.tryQuestion(ONE))).toBe(false);
    expect(ONE && gate.tryOrder(ONE)).toBe(true);
    expect(used).toEqual(['i-1']);
  });

  it('lets nothing to a server that was chosen before it was found to leave by the list', () => {
    const { gate, servers } = gateOfHost();
    servers.replace([...SERVERS.slice(1), { ...engineServer('i-1'), isDraining: true }], 0, 2);
    expect(take(gate, ONE)).toBe('not_listed');
  });
});
