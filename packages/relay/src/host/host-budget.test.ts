import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { budgetSizeOf } from './budget-size.js';
import { BUDGET_USES, HostBudget } from './host-budget.js';

const SIZE = {
  firstWatermarkBytes: 100,
  secondWatermarkBytes: 150,
  limitBytes: 200,
  responseBytes: 25,
  processBytes: 1000,
};

const ZERO_SIZE = {
  firstWatermarkBytes: 0,
  secondWatermarkBytes: 0,
  limitBytes: 0,
  responseBytes: 0,
  processBytes: 0,
};

function totalOf(budget: HostBudget): number {
  return BUDGET_USES.reduce((sum, use) => sum + budget.held(use), 0);
}

const operation = fc.record({
  holder: fc.nat(5),
  kind: fc.constantFrom('add', 'release', 'resize', 'end'),
  bytes: fc.nat(100),
});

describe('HostBudget', () => {
  it('is never negative, counts what its holders hold, and holds nothing when all have ended', () => {
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 60 }), (operations) => {
        const budget = new HostBudget(SIZE);
        const levels: string[] = [];
        budget.onLevel((level) => {
          levels.push(level);
        });
        const holders = Array.from({ length: 6 }, (_unused, index) =>
          budget.reserve(BUDGET_USES[index % BUDGET_USES.length] ?? 'body'),
        );
        for (const { holder, kind, bytes } of operations) {
          const reservation = holders[holder];
          if (kind === 'end') reservation?.end();
          else reservation?.[kind](bytes);
          for (const use of BUDGET_USES) expect(budget.held(use)).toBeGreaterThanOrEqual(0);
          const held = holders.reduce((sum, one) => sum + one.bytes, 0);
          expect(totalOf(budget)).toBe(held);
          expect(budget.usedBytes).toBe(held);
          expect(budget.level).toBe(held <= 100 ? 'free' : held <= 150 ? 'first' : 'second');
          expect(levels.at(-1) ?? 'free').toBe(budget.level);
        }
        for (const one of holders) one.end();
        expect(totalOf(budget)).toBe(0);
        expect(budget.level).toBe('free');
      }),
    );
  });

  it('uses the resident size of the process if it is larger than the count, and the count if not', () => {
    const budget = new HostBudget(SIZE);
    budget.onResident(1160);
    expect(budget.level).toBe('second');
    expect([budget.fitsRequest(40), budget.fitsRequest(41)]).toEqual([true, false]);
    expect([budget.fitsAnswer(200), budget.fitsAnswer(201)]).toEqual([true, false]);
    expect(budget.isFullByResident).toBe(true);
    budget.reserve('caller').add(120);
    budget.onResident(1050);
    expect(budget.usedBytes).toBe(120);
    expect(budget.level).toBe('first');
    expect(budget.isFullByResident).toBe(false);
  });

  it('adds unread bytes to the resident size for connections with more to read, and only for them', () => {
    const budget = new HostBudget(SIZE);
    budget.onResident(SIZE.processBytes + 90);
    budget.reserve('unread').add(120);
    expect([budget.usedBytes, budget.fitsRequest(0), budget.fitsUnread]).toEqual([
      120,
      true,
      false,
    ]);
  });

  it('has no watermarks if the memory of the host is not known', () => {
    const budget = new HostBudget(undefined);
    budget.reserve('body').add(10 ** 12);
    expect([budget.level, budget.fitsRequest(1), budget.fitsAnswer(1)]).toEqual([
      'free',
      true,
      true,
    ]);
  });
});

describe('budgetSizeOf', () => {
  it.each([64, 202, 602])('stays within a host of %i MB', (megabytes) => {
    const size = budgetSizeOf(megabytes) ?? ZERO_SIZE;
    expect(size.limitBytes).toBeGreaterThan(0);
    expect(size.firstWatermarkBytes).toBeLessThan(size.secondWatermarkBytes);
    expect(size.secondWatermarkBytes).toBeLessThan(size.limitBytes);
    expect(size.responseBytes).toBeLessThan(size.firstWatermarkBytes);
    if (megabytes > 130)
      expect(size.limitBytes + size.processBytes).toBeLessThan(megabytes * 1_000_000);
  });

  it('is undefined if the memory of the host is not known', () => {
    expect(budgetSizeOf(0)).toBeUndefined();
  });
});
