import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Quarantine } from './quarantine.js';
import { MAX_TERMINATIONS } from './quarantine-entry.js';
import type { QuarantineEntry } from './quarantine-entry.js';

const A = 'hint-a-content';
const B = 'hint-b-content';

function end(server: string, atMs = 0) {
  return { server, host: 'host-1', atMs };
}

/** Records consecutive terminations of servers during runs of a request, detected at `atMs`. */
function terminateInTurn(quarantine: Quarantine, content: string, times: number, atMs = 0): void {
  for (let index = 0; index < times; index += 1) {
    quarantine.onTermination(
      content,
      quarantine.historyOf(content),
      end(`s${String(index)}`, atMs),
    );
  }
}

describe('Quarantine', () => {
  it('holds a request after three consecutive terminations, and no other request', () => {
    const quarantine = new Quarantine();
    terminateInTurn(quarantine, A, 2);
    expect(quarantine.judge(A, 1)).toBe('free');
    terminateInTurn(quarantine, A, 1);
    expect(quarantine.judge(A, 1)).toBe('held');
    expect(quarantine.judge(B, 1)).toBe('free');
    expect(quarantine.mayContain(() => A.slice(0, 6))).toBe(true);
    expect(quarantine.mayContain(() => 'other')).toBe(false);
  });

  it('counts any number of terminations during runs that began before the first one was known as one', () => {
    const quarantine = new Quarantine();
    const began = Array.from({ length: 20 }, () => quarantine.historyOf(A));
    for (const history of began) quarantine.onTermination(A, history, end('s'));
    expect(quarantine.find(A)?.ends).toBe(1);
  });

  it('releases a request at its first complete answer, even if earlier terminations are detected later', () => {
    const quarantine = new Quarantine();
    const before = quarantine.historyOf(A);
    terminateInTurn(quarantine, A, MAX_TERMINATIONS);
    quarantine.onServed(A, 5);
    expect(quarantine.judge(A, 6)).toBe('free');
    expect(quarantine.onTermination(A, before, end('late')).ends).toBe(1);
  });

  it('grants one trial after twenty seconds, and the next after four times as long', () => {
    const quarantine = new Quarantine();
    terminateInTurn(quarantine, A, MAX_TERMINATIONS);
    expect(quarantine.judge(A, 19_999)).toBe('held');
    expect(quarantine.judge(A, 20_000, 500)).toBe('held');
    expect(quarantine.judge(A, 20_000)).toBe('trial');
    expect(quarantine.judge(A, 20_001)).toBe('held');
    quarantine.onTermination(A, quarantine.historyOf(A), end('s4', 20_100));
    expect(quarantine.judge(A, 100_099)).toBe('held');
    expect(quarantine.judge(A, 100_100)).toBe('trial');
  });

  it('drops old entries, and keeps at most 1024, preferably those that are held', () => {
    const quarantine = new Quarantine();
    terminateInTurn(quarantine, A, MAX_TERMINATIONS, 0);
    for (let index = 0; index < 5000; index += 1)
      terminateInTurn(quarantine, `other-${String(index)}`, 1);
    expect(quarantine.size).toBe(1024);
    expect(quarantine.judge(A, 1)).toBe('held');
    quarantine.expire(130_000);
    expect(quarantine.size).toBe(1);
    quarantine.expire(141_000);
    expect(quarantine.size).toBe(0);
    expect(quarantine.mayContain(() => A.slice(0, 6))).toBe(false);
  });

  it('sends peers the newest entries each time and the others in rotation', () => {
    const quarantine = new Quarantine();
    for (let index = 0; index < 40; index += 1)
      terminateInTurn(quarantine, `c-${String(index)}`, 1);
    const told = new Set<string>();
    for (let turn = 0; turn < 9; turn += 1) {
      const entries = quarantine.entriesFor(turn, 8);
      expect(entries).toHaveLength(8);
      expect(entries[0]?.content).toBe('c-39');
      for (const { content } of entries) told.add(content);
    }
    expect(told.size).toBe(40);
  });

  it('converges to the same state in whatever order and however often entries are merged', () => {
    const entry = fc.record({
      content: fc.constantFrom(A, B),
      round: fc.nat(3),
      ends: fc.nat(5),
    });
    const toEntry = ({
      content,
      round,
      ends,
    }: {
      content: string;
      round: number;
      ends: number;
    }) => ({
      content,
      round,
      ends,
      quarantinedUntilMs: ends * 1_000_000,
      changedAtMs: 0,
      lastTerminations: [],
    });
    const stateAfter = (entries: readonly QuarantineEntry[]) => {
      const quarantine = new Quarantine();
      for (const told of entries) quarantine.merge(told);
      return [quarantine.find(A), quarantine.find(B)];
    };
    fc.assert(
      fc.property(
        fc.array(entry, { maxLength: 12 }),
        fc.infiniteStream(fc.nat()),
        (inputs, order) => {
          const entries = inputs.map(toEntry);
          const others = [...entries, ...entries]
            .map((told) => ({ told, place: order.next().value ?? 0 }))
            .sort((one, other) => one.place - other.place)
            .map(({ told }) => told);
          expect(stateAfter(others)).toEqual(stateAfter(entries));
        },
      ),
      { numRuns: 300, seed: 3 },
    );
  });
});
