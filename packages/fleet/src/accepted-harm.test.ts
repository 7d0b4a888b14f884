import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { acceptableInterference } from './accepted-harm.js';
import { streamValue } from './stream-worth.js';

const demand = {
  promptTokens: 200_000,
  answerTokens: 1000,
  aimMs: 3000,
  waitedMs: 0,
  callerTimeoutMs: 12_000,
  isRepeated: false,
};
const worth = streamValue(demand.promptTokens);

describe('acceptedHarm', () => {
  it('is nothing at first, and what being late loses when the aim can just be met', () => {
    const outlook = { expectedFirstMs: 1000, isInTime: true };
    expect(acceptableInterference(demand, outlook)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 2000 }, outlook)).toBeCloseTo(
      worth * 0.75,
    );
  });

  it('is nothing again when the aim is missed, and what a wait for nothing costs before the caller leaves', () => {
    const outlook = { expectedFirstMs: 1000, isInTime: false };
    expect(acceptableInterference({ ...demand, waitedMs: 3000 }, outlook)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 11_000 }, outlook)).toBeCloseTo(
      worth * 0.55,
    );
    expect(acceptableInterference({ ...demand, waitedMs: 60_000 }, outlook)).toBeCloseTo(
      worth * 0.55,
    );
  });

  it('rises from the start where the last start comes before the aim', () => {
    const outlook = { expectedFirstMs: 10_000, isInTime: false };
    expect(acceptableInterference(demand, outlook)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 2000 }, outlook)).toBeCloseTo(
      worth * 0.55,
    );
  });

  it('rises without steps as the wait grows', () => {
    const inputs = fc.record({
      waitedMs: fc.integer({ min: 0, max: 15_000 }),
      expectedFirstMs: fc.integer({ min: 1, max: 2000 }),
      isInTime: fc.boolean(),
    });
    fc.assert(
      fc.property(inputs, ({ waitedMs, expectedFirstMs, isInTime }) => {
        const outlook = { expectedFirstMs, isInTime };
        const before = acceptableInterference({ ...demand, waitedMs }, outlook);
        const after = acceptableInterference({ ...demand, waitedMs: waitedMs + 1 }, outlook);
        expect(after).toBeGreaterThanOrEqual(before);
        expect(after - before).toBeLessThan(worth / 300);
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});
