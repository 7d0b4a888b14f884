import * as fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { acceptableInterference } from './acceptable-interference.js';
import { streamValue } from './stream-value.js';

const demand = {
  promptTokens: 200_000,
  answerTokens: 1000,
  aimMs: 3000,
  waitedMs: 0,
  callerTimeoutMs: 12_000,
  isRepeated: false,
};
const value = streamValue(demand.promptTokens);

describe('acceptableInterference', () => {
  it('is 0 at arrival, and the loss by being late at the last start that meets the target', () => {
    const forecast = { expectedFirstMs: 1000, isInTime: true };
    expect(acceptableInterference(demand, forecast)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 2000 }, forecast)).toBeCloseTo(
      value * 0.75,
    );
  });

  it('is 0 again after the target, and the value of a late answer plus the cost of a vain wait at the last useful start', () => {
    const forecast = { expectedFirstMs: 1000, isInTime: false };
    expect(acceptableInterference({ ...demand, waitedMs: 3000 }, forecast)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 11_000 }, forecast)).toBeCloseTo(
      value * 0.55,
    );
    expect(acceptableInterference({ ...demand, waitedMs: 60_000 }, forecast)).toBeCloseTo(
      value * 0.55,
    );
  });

  it('rises from the arrival if the last useful start is before the target', () => {
    const forecast = { expectedFirstMs: 10_000, isInTime: false };
    expect(acceptableInterference(demand, forecast)).toBe(0);
    expect(acceptableInterference({ ...demand, waitedMs: 2000 }, forecast)).toBeCloseTo(
      value * 0.55,
    );
  });

  it('rises without jumps as the wait grows', () => {
    const inputs = fc.record({
      waitedMs: fc.integer({ min: 0, max: 15_000 }),
      expectedFirstMs: fc.integer({ min: 1, max: 2000 }),
      isInTime: fc.boolean(),
    });
    fc.assert(
      fc.property(inputs, ({ waitedMs, expectedFirstMs, isInTime }) => {
        const forecast = { expectedFirstMs, isInTime };
        const before = acceptableInterference({ ...demand, waitedMs }, forecast);
        const after = acceptableInterference({ ...demand, waitedMs: waitedMs + 1 }, forecast);
        expect(after).toBeGreaterThanOrEqual(before);
        expect(after - before).toBeLessThan(value / 300);
      }),
      { seed: 4, numRuns: 500 },
    );
  });
});
