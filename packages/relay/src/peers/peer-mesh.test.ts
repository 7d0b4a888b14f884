import type { Clock, Milliseconds } from '@poppypond/core';
import { FleetView, ReadQueue } from '@poppypond/fleet';
import type { AttemptUse } from '@poppypond/fleet';
import { ManualClock } from '@poppypond/mocks';
import { ConfigurationInForce, Freshness } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ServerList } from '../store/server-list.js';
import { decodeMessage, encodeMessage } from './peer-messages.js';
import type { PeerMessage } from './peer-messages.js';
import { PeerMesh } from './peer-mesh.js';
import { SharedKnowledge } from './shared-knowledge.js';

/** A clock of one process: the common one, counted from the start of the process. */
function clockFrom(common: ManualClock, startedAtMs: Milliseconds): Clock {
  return {
    monotonicMs: () => common.monotonicMs() - startedAtMs,
    wallMs: () => common.wallMs(),
    after: (delayMs, callback) => common.after(delayMs, callback),
    every: (periodMs, callback) => common.every(periodMs, callback),
  };
}

interface Sent {
  readonly from: string;
  readonly to: number;
  readonly message: PeerMessage;
}

interface Host {
  readonly mesh: PeerMesh;
  readonly fleet: FleetView;
  readonly freshness: Freshness;
  readonly knowledge: SharedKnowledge;
  readonly startedAtMs: Milliseconds;
}

/** Hosts whose messages are delivered when the test says so. */
class Network {
  readonly clock = new ManualClock();
  readonly sent: Sent[] = [];
  readonly hosts = new Map<number, Host>();
  #lives = 0;

  start(port: number, known: readonly number[]): Host {
    const startedAtMs = this.clock.monotonicMs();
    const clock = clockFrom(this.clock, startedAtMs);
    const inForce = new ConfigurationInForce();
    inForce.apply({
      version: 1,
      routes: [],
      services: [],
      workspaces: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    const freshness = new Freshness(clock);
    const list = new ServerList(clock, silentLog);
    const fleet = new FleetView();
    this.#lives += 1;
    const knowledge = new SharedKnowledge({ clock, inForce, freshness, list });
    const name = (of: number) => `host-${String(of)}`;
    const mesh = new PeerMesh({
      clock,
      log: silentLog,
      sender: {
        send: (_address, to, message) => {
          this.sent.push({ from: name(port), to, message });
        },
      },
      self: { host: name(port), address: 'a', port, incarnation: `life-${String(this.#lives)}` },
      fleet,
      queue: new ReadQueue(),
      knowledge,
    });
    const host = { mesh, fleet, freshness, knowledge, startedAtMs };
    this.hosts.set(port, host);
    mesh.start(known.map((other) => ({ host: name(other), address: 'a', port: other })));
    return host;
  }

  deliver(index: number): void {
    const [sent] = this.sent.splice(index, 1);
    const message = sent && decodeMessage(encodeMessage(sent.message));
    if (sent && message) this.hosts.get(sent.to)?.mesh.receive(message, 'a');
  }

  /** Lets time pass with every message delivered at once. */
  async run(forMs: Milliseconds): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += 50) {
      await this.clock.advance(50);
      while (this.sent.length > 0) this.deliver(0);
    }
  }
}

const PORTS = [1, 2, 3, 4, 5];

function use(attemptId: string): AttemptUse {
  return {
    attemptId,
    host: 'host-1',
    writerId: 'i-1',
    readerIds: ['i-2'],
    partMs: 100,
    contextTokens: 1000,
    held: [{ engineId: 'i-2', tokens: 5 }],
    gapAimMs: 200,
    isReading: true,
    placedAtMs: 0,
    expiresAtMs: 60_000,
  };
}

describe('PeerMesh', () => {
  it('lets two hosts read the store for all, and others when those have lost it', async () => {
    const network = new Network();
    for (const port of PORTS) network.start(port, PORTS);
    const readers = () => PORTS.filter((port) => network.hosts.get(port)?.mesh.isReader());
    await network.run(1000);
    expect(readers()).toEqual([1, 2]);
    network.hosts.get(1)?.knowledge.onStoreFailure();
    await network.run(1000);
    expect(readers()).toEqual([2, 3]);
    await network.run(3000);
    expect(readers()).toEqual([1, 2]);
    network.hosts.get(2)?.mesh.stop();
    await network.run(50);
    expect(readers().filter((port) => port !== 2)).toEqual([1, 3]);
  });

  it('tells what it runs, mends what was lost with a beat, and drops it with its host', async () => {
    const network = new Network();
    const first = network.start(1, [2]);
    const second = network.start(2, [1]);
    await network.run(600);
    first.mesh.begin('r', use('a'));
    await network.run(50);
    expect(second.fleet.attemptsOf('host-1')).toHaveLength(1);
    first.mesh.begin('r', use('b'));
    network.sent.length = 0;
    expect(second.fleet.attemptsOf('host-1')).toHaveLength(1);
    await network.run(600);
    expect(second.fleet.attemptsOf('host-1')).toHaveLength(2);
    first.mesh.stop();
    await network.run(50);
    expect(second.fleet.size).toBe(0);
  });

  it('counts hosts for shared budgets for a while after their last word', async () => {
    const network = new Network();
    const first = network.start(1, [2]);
    network.start(2, [1]);
    await network.run(600);
    network.hosts.get(2)?.mesh.stop();
    network.sent.length = 0;
    await network.run(30_000);
    expect(first.mesh.hostCount).toBe(2);
    await network.run(40_000);
    expect(first.mesh.hostCount).toBe(1);
  });

  it('never proves more than its peer knew, with messages late, lost, and lives that change', () => {
    const step = fc.oneof(
      {
        weight: 4,
        arbitrary: fc.integer({ min: 1, max: 900 }).map((ms) => ({ kind: 'pass' as const, ms })),
      },
      { weight: 4, arbitrary: fc.nat(50).map((ms) => ({ kind: 'deliver' as const, ms })) },
      { weight: 2, arbitrary: fc.constant({ kind: 'prove' as const, ms: 0 }) },
      { weight: 1, arbitrary: fc.constant({ kind: 'restart' as const, ms: 0 }) },
      { weight: 1, arbitrary: fc.nat(50).map((ms) => ({ kind: 'lose' as const, ms })) },
    );
    return fc.assert(
      fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
        const network = new Network();
        const reader = network.start(1, [2]);
        let other = network.start(2, [1]);
        let provedAtMs = Number.NEGATIVE_INFINITY;
        for (const { kind, ms } of steps) {
          if (kind === 'pass') await network.clock.advance(ms);
          if (kind === 'deliver' && network.sent.length > 0)
            network.deliver(ms % network.sent.length);
          if (kind === 'lose') network.sent.splice(ms, 1);
          if (kind === 'prove') {
            provedAtMs = network.clock.monotonicMs();
            reader.freshness.prove(provedAtMs - reader.startedAtMs);
          }
          if (kind === 'restart') {
            other.mesh.stop();
            other = network.start(2, [1]);
          }
          const knownAtMs = network.clock.monotonicMs() - other.freshness.ageMs();
          expect(knownAtMs).toBeLessThanOrEqual(provedAtMs);
        }
      }),
      { numRuns: 300, seed: 9 },
    );
  });
});
