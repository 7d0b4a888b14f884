import { newOwner } from '@poppypond/core';
import { MemoryRows, MemoryTable, ScheduledClock, UncheckedRows } from '@poppypond/mocks';
import type { CallOutcome } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AtMostOnceLedger } from './at-most-once-ledger.js';

const SEED = 21;
const RUNS = 1000;

interface ReportedOutcome {
  readonly kind: 'ran' | 'replayed' | 'not_run' | 'unknown' | 'died';
  readonly hasRun: boolean;
  readonly answer?: string;
}

const callOutcome = fc.constantFrom<CallOutcome>(
  'ok',
  'ok',
  'ok',
  'down',
  'lost',
  'hang-then-lost',
);
const call = fc.record({
  host: fc.integer({ min: 0, max: 2 }),
  key: fc.constantFrom('k1', 'k2'),
  /** Whether the host crashes before dispatch, after it, or not at all. */
  crashPoint: fc.constantFrom('no', 'no', 'before', 'after'),
  /** Whether the service confirms that it did not run the call. */
  isRefused: fc.boolean(),
});

/**
 * Sends calls to three hosts with any order of events, and compares the runs with the outcomes
 * reported to callers.
 */
function atMostOnceProperty(makeRows: () => MemoryRows) {
  return fc.asyncProperty(
    fc.scheduler(),
    fc.array(call, { minLength: 1, maxLength: 6 }),
    fc.infiniteStream(callOutcome),
    async (scheduler, calls, callOutcomes) => {
      const rows = makeRows();
      const runs = new Map<string, number>();
      const clock = new ScheduledClock(scheduler);
      const ledgers = [0, 1, 2].map((host) => {
        const yieldAt = (label: string) => scheduler.schedule(Promise.resolve(), label);
        const table = new MemoryTable(rows, () => callOutcomes.next().value, yieldAt);
        return new AtMostOnceLedger(table, clock, newOwner(`host-${String(host)}`));
      });
      const send = async ({
        host,
        key,
        crashPoint,
        isRefused,
      }: (typeof calls)[number]): Promise<ReportedOutcome> => {
        const ledger = ledgers[host];
        if (!ledger) throw new Error('no such host');
        const claimed = await ledger.claim('farms', key, 'hash');
        if (claimed.isErr) {
          const isUnknown = claimed.error.code === 'key_in_progress';
          return { kind: isUnknown ? 'unknown' : 'not_run', hasRun: false };
        }
        if (claimed.value.kind === 'ran_before') {
          return { kind: 'replayed', hasRun: false, answer: claimed.value.answer.body };
        }
        if (crashPoint === 'before') return { kind: 'died', hasRun: false };
        await scheduler.schedule(Promise.resolve(), 'dispatch');
        if (isRefused) {
          ledger.recordNotRun(claimed.value.claim);
          return { kind: 'not_run', hasRun: false };
        }
        runs.set(key, (runs.get(key) ?? 0) + 1);
        const body = `${key}-receipt`;
        if (crashPoint === 'after') return { kind: 'died', hasRun: true };
        ledger.recordRan(claimed.value.claim, { status: 200, contentType: 'text/plain', body });
        return { kind: 'ran', hasRun: true, answer: body };
      };
      const results = await scheduler.waitFor(Promise.all(calls.map(send)));
      for (const count of runs.values()) expect(count).toBeLessThanOrEqual(1);
      for (const result of results) {
        if (result.kind === 'not_run') expect(result.hasRun).toBe(false);
        if (result.kind === 'replayed') expect(result.answer).toMatch(/-receipt$/);
      }
    },
  );
}

describe('AtMostOnceLedger', () => {
  it('runs each key at most once, and never reports a call that ran as not run', async () => {
    await fc.assert(
      atMostOnceProperty(() => new MemoryRows()),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it('violates the property if the store ignores version checks', async () => {
    const checked = await fc.check(
      atMostOnceProperty(() => new UncheckedRows()),
      { seed: SEED },
    );
    expect(checked.failed).toBe(true);
  });

  it('refuses a key that is reused for another request, and frees the key of a call that was not run', async () => {
    const rows = new MemoryRows();
    const scheduler = { schedule: <Value>(task: Promise<Value>) => task };
    const clock = new ScheduledClock(scheduler);
    const ledger = new AtMostOnceLedger(new MemoryTable(rows), clock, newOwner('host-1'));
    const first = await ledger.claim('farms', 'k', 'one');
    if (first.isErr || first.value.kind !== 'claimed') throw new Error('the key was not claimed');
    ledger.recordRan(first.value.claim, { status: 200, contentType: 'text/plain', body: 'r' });
    const other = await ledger.claim('farms', 'k', 'two');
    expect(other.isErr && other.error.code).toBe('key_reused');
    const second = await ledger.claim('farms', 'k2', 'one');
    if (second.isErr || second.value.kind !== 'claimed') throw new Error('the key was not claimed');
    ledger.recordNotRun(second.value.claim);
    while (ledger.pendingOutcomes > 0) await new Promise((resolve) => setImmediate(resolve));
    const again = await ledger.claim('farms', 'k2', 'one');
    expect(again.isOk && again.value.kind).toBe('claimed');
  });
});
