import { isUnchanged, findReleaseReason } from '@poppypond/controller';
import { formatOwner } from '@poppypond/core';
import type { Owner } from '@poppypond/core';
import { ManualClock } from '@poppypond/mocks';
import { KvMemory } from '@poppypond/standin';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const TTL_MS = 10_000;
const CAPACITY = 100_000;
const HOSTS = 3;

interface HostRun {
  owner: Owner;
  isPaused: boolean;
  readonly claims: Map<string, number>;
}

type SweepStep = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
const step = fc.record({
  kind: fc.constantFrom(
    'reserve',
    'reserve',
    'answer-lost',
    'release',
    'pause',
    'wake',
    'replace',
    'sweep',
    'sweep',
    'wait',
  ),
  host: fc.integer({ min: 0, max: HOSTS - 1 }),
  tokens: fc.integer({ min: 1, max: 40_000 }),
  limitMs: fc.integer({ min: 1000, max: 60_000 }),
  advanceMs: fc.integer({ min: 0, max: 8000 }),
});

/** Hosts that reserve memory, pause, resume and are replaced while a memory sweep runs. */
class SweepSimulation {
  readonly clock = new ManualClock();
  readonly memory = new KvMemory(CAPACITY, this.clock, () => undefined);
  readonly hosts: HostRun[] = Array.from({ length: HOSTS }, (_, index) => ({
    owner: { host: `h${String(index)}`, incarnation: 'i0' },
    isPaused: false,
    claims: new Map(),
  }));
  readonly releasedInUse: string[] = [];
  #replacements = 0;
  #lastPass = new Map<string, ReturnType<SweepSimulation['list']>[number]>();

  constructor(readonly findReason: typeof findReleaseReason) {}

  list() {
    const now = this.clock.monotonicMs();
    return this.memory.reservations.map((held) => ({
      ...held,
      ttlMs: held.expiresAtMs - now,
      timeRemainingMs: held.deadlineMs - now,
      isRunning: false,
    }));
  }

  renewAll(): void {
    for (const { owner, isPaused, claims } of this.hosts) {
      if (isPaused) continue;
      for (const [id, deadlineMs] of claims) {
        if (this.clock.monotonicMs() >= deadlineMs) {
          claims.delete(id);
          this.memory.release(id);
        } else this.memory.renew(id, formatOwner(owner), TTL_MS);
      }
    }
  }

  sweep(): void {
    const seen = new Map<string, ReturnType<SweepSimulation['list']>[number]>();
    for (const held of this.list()) {
      if (held.ttlMs > 0) continue;
      seen.set(held.id, held);
      if (!isUnchanged(this.#lastPass.get(held.id), held)) continue;
      const host = this.hosts.find(({ owner }) => held.owner.startsWith(`${owner.host}/`));
      const answer =
        host && !host.isPaused
          ? { owner: host.owner, isClaimed: host.claims.has(held.id) }
          : undefined;
      if (!this.findReason(held, answer)) continue;
      const isNeeded = this.hosts.some(
        ({ owner, claims }) => formatOwner(owner) === held.owner && claims.has(held.id),
      );
      if (isNeeded && held.timeRemainingMs > 0) this.releasedInUse.push(held.id);
      this.memory.release(held.id);
    }
    this.#lastPass = seen;
  }

  async runStep({ kind, host: index, tokens, limitMs, advanceMs }: SweepStep): Promise<void> {
    const host = this.hosts[index];
    if (!host) return;
    if (kind === 'sweep') this.sweep();
    if ((kind === 'reserve' || kind === 'answer-lost') && !host.isPaused) {
      const claim = {
        owner: formatOwner(host.owner),
        requestId: 'r',
        attempt: 1,
        tokens,
        deadlineMs: limitMs,
      };
      const reserved = this.memory.reserve(claim, TTL_MS);
      if (reserved && kind === 'reserve') host.claims.set(reserved.id, reserved.deadlineMs);
    }
    if (kind === 'release' && !host.isPaused) {
      for (const id of host.claims.keys()) this.memory.release(id);
      host.claims.clear();
    }
    if (kind === 'pause') host.isPaused = true;
    if (kind === 'wake') host.isPaused = false;
    if (kind === 'replace') {
      this.#replacements += 1;
      host.owner = { ...host.owner, incarnation: `i${String(this.#replacements)}` };
      host.claims.clear();
      host.isPaused = false;
    }
    await this.clock.advance(advanceMs);
    this.renewAll();
  }
}

function makeSweepProperty(findReason: typeof findReleaseReason) {
  return fc.asyncProperty(fc.array(step, { maxLength: 50 }), async (steps) => {
    const simulation = new SweepSimulation(findReason);
    for (const nextStep of steps) {
      await simulation.runStep(nextStep);
      expect(simulation.memory.heldTokens).toBeLessThanOrEqual(CAPACITY);
      expect(simulation.releasedInUse).toEqual([]);
    }
    for (const host of simulation.hosts) host.isPaused = false;
    for (let passes = 0; passes < 12; passes += 1) {
      await simulation.clock.advance(6000);
      simulation.renewAll();
      simulation.sweep();
    }
    expect(simulation.memory.heldTokens).toBe(0);
  });
}

describe('memory sweep of an engine', () => {
  it('releases all memory in the end and none that is in use, when hosts pause or are replaced', async () => {
    await fc.assert(makeSweepProperty(findReleaseReason), { seed: 61, numRuns: 1000 });
  });

  it('fails the same check if it takes a missing answer of the owner for a disclaimer', async () => {
    const result = await fc.check(
      makeSweepProperty((held) => findReleaseReason(held, undefined) ?? 'owner_disclaims'),
      { seed: 61, numRuns: 3000 },
    );
    expect(result.failed).toBe(true);
  });
});
