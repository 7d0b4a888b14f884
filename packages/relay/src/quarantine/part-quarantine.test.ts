import { Quarantine } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { beforeEach, describe, expect, it } from 'vitest';
import { PartQuarantine, partKeyOf } from './part-quarantine.js';
import { SharedQuarantine } from './shared-quarantine.js';
import { TerminationTracker } from './termination-tracker.js';

const SERVICE = 'engines';
const FATAL = partKeyOf(SERVICE, 'dead');

function serverAt(index: number): BackendServer {
  const place = { address: '127.0.0.1', port: 9, availabilityZone: 'z', slots: 1 };
  return { id: `i-${String(index)}`, service: SERVICE, isDraining: false, ...place };
}

describe('PartQuarantine', () => {
  let clock: ManualClock;
  let quarantine: SharedQuarantine;
  let partQuarantine: PartQuarantine;
  let serverCount: number;

  beforeEach(() => {
    clock = new ManualClock();
    const shared = { clock, log: silentLog, metrics: new PrometheusMetrics(), host: 'host-1' };
    quarantine = new SharedQuarantine({ ...shared, quarantine: new Quarantine() });
    partQuarantine = new PartQuarantine({ clock, host: 'host-1', quarantine });
    serverCount = 0;
  });

  function request(body: string, sharedParts: readonly string[]): TerminationTracker {
    const content = { head: ['w'], body: Buffer.from(body) };
    const parts = { clock, quarantine, partQuarantine };
    return new TerminationTracker(parts, { service: SERVICE, content, sharedParts });
  }

  /** Runs requests of the same server, which terminates 200 ms later. */
  async function terminate(...requests: readonly TerminationTracker[]): Promise<void> {
    serverCount += 1;
    const attempt = String(serverCount);
    for (const each of requests) each.begin(attempt);
    await clock.advance(200);
    const end = { server: serverAt(serverCount), atMs: clock.monotonicMs(), isPrompt: true };
    for (const each of requests) each.onTerminated(attempt, end);
  }

  it('holds different requests that share a part, and not their victims', async () => {
    const victim = request('sound', []);
    await terminate(request('1', ['dead']));
    for (const body of ['2', '3', '4']) await terminate(victim, request(body, ['dead']));
    expect(request('5', ['aa', 'dead']).checkHold()?.entry.content).toBe(FATAL);
    expect(victim.checkHold()).toBeUndefined();
    expect(request('6', ['aa']).checkHold()).toBeUndefined();
  });

  // Guards against a request that runs on after its third crash, as a part of its prompt was held in
  // its place and then released by another request.
  it('keeps holding a request that crashed three servers whatever other requests share its parts', async () => {
    const fatal = request('fatal', ['dead', 'aa']);
    const sharing = request('sound', ['aa']);
    sharing.begin('elsewhere');
    for (let crash = 0; crash < 3; crash += 1) await terminate(fatal, request('victim', []));
    expect(sharing.checkHold()).toBeUndefined();
    sharing.onServed();
    expect(fatal.checkHold()?.entry.lastTerminations).toHaveLength(3);
  });

  it('holds a released victim again after one further termination', async () => {
    const victim = request('sound', []);
    await terminate(request('1', ['dead']));
    for (const body of ['2', '3', '4']) await terminate(victim, request(body, ['dead']));
    expect(victim.checkHold()).toBeUndefined();
    await terminate(victim);
    expect(victim.checkHold()).toBeDefined();
  });

  it('allows one trial after the hold, and holds longer if it terminates its server', async () => {
    for (const body of ['1', '2', '3']) await terminate(request(body, ['dead']));
    await clock.advance(19_000);
    expect(request('4', ['dead']).checkHold()).toBeDefined();
    await clock.advance(1000);
    const trial = request('5', ['dead']);
    expect(trial.checkHold()).toBeUndefined();
    expect(request('6', ['dead']).checkHold()).toBeDefined();
    await terminate(trial);
    expect(trial.checkHold()?.forMs).toBe(80_000);
  });

  it('frees a part that is served in a trial', async () => {
    for (const body of ['1', '2', '3']) await terminate(request(body, ['dead']));
    await clock.advance(20_000);
    const trial = request('4', ['dead']);
    expect(trial.checkHold()).toBeUndefined();
    trial.onServed();
    expect(request('5', ['dead']).checkHold()).toBeUndefined();
  });

  it('frees a part that a peer quarantines although this host has served it', async () => {
    request('1', ['dead']).onServed();
    await clock.advance(1000);
    const end = { server: 'i-1', host: 'host-2', atMs: clock.monotonicMs() };
    const held = { content: FATAL, round: 0, ends: 3, quarantinedUntilMs: 30_000 };
    const told = { ...held, changedAtMs: clock.monotonicMs(), lastTerminations: [end] };
    quarantine.mergeFromPeer([told], 'host-2');
    expect(request('2', ['dead']).checkHold()).toBeUndefined();
  });
});
