import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Budgets } from './budgets.js';
import type { AppliedBudget } from './budgets.js';
import { requestCost } from './request-cost.js';

const workspace: AppliedBudget = {
  id: 'workspace/audit',
  budget: { unitsPerSecond: 1000, burstUnits: 300_000 },
};
const user: AppliedBudget = {
  id: 'user/audit/ann',
  budget: { unitsPerSecond: 100, burstUnits: 200_000 },
};

function fullBudgets(...applied: readonly AppliedBudget[]): Budgets {
  const budgets = new Budgets(() => 1);
  for (const one of applied) budgets.adjustUnits(one, one.budget.burstUnits, 0);
  return budgets;
}

describe('Budgets', () => {
  it('refuses a request that costs more than the burst, however few requests came before', () => {
    const budgets = fullBudgets(workspace, user);
    const oversized = budgets.charge([user, workspace], requestCost(180_000, 8000), 0);
    expect(oversized.isErr && oversized.error.code).toBe('over_budget_size');
    expect(budgets.charge([user, workspace], requestCost(200, 200), 0).isOk).toBe(true);
  });

  it('reports the exhausted budget and the time until it has refilled', () => {
    const budgets = fullBudgets(workspace, user);
    expect(budgets.charge([user, workspace], 190_000, 0).isOk).toBe(true);
    const refused = budgets.charge([user, workspace], 20_000, 0);
    expect(refused.isErr && refused.error).toMatchObject({
      code: 'limit_exceeded',
      path: 'user/audit/ann',
      retryAfterMs: 100_000,
    });
    expect(budgets.charge([user, workspace], 20_000, 100_000).isOk).toBe(true);
  });

  it('charges every budget or none', () => {
    const budgets = fullBudgets(workspace);
    expect(budgets.charge([workspace, user], 10, 0).isErr).toBe(true);
    expect(budgets.available(workspace, 0)).toBe(300_000);
  });

  it('refunds or charges the difference once the actual cost is known', () => {
    const budgets = fullBudgets(workspace);
    const charge = budgets.charge([workspace], 100_000, 0).unwrapOr({ budgets: [], units: 0 });
    budgets.settle(charge, 40_000, 0);
    expect(budgets.available(workspace, 0)).toBe(260_000);
    const second = budgets.charge([workspace], 260_000, 0).unwrapOr({ budgets: [], units: 0 });
    budgets.settle(second, 270_000, 0);
    expect(budgets.available(workspace, 0)).toBe(-10_000);
  });

  it('never charges more than the burst plus the refill', () => {
    const step = fc.record({
      units: fc.integer({ min: 1, max: 100_000 }),
      afterMs: fc.integer({ min: 0, max: 5000 }),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const budgets = fullBudgets(workspace);
        let nowMs = 0;
        let spent = 0;
        for (const { units, afterMs } of steps) {
          nowMs += afterMs;
          if (budgets.charge([workspace], units, nowMs).isOk) spent += units;
        }
        expect(spent).toBeLessThanOrEqual(300_000 + nowMs + 1);
      }),
      { seed: 11 },
    );
  });
});
