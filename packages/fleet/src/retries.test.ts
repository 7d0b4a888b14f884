import { ManualClock } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetryBudget } from './retry-budget.js';
import { decideRetry } from './retry-decision.js';
import type { RetryInputs } from './retry-decision.js';

const FIGURES = { ratio: 0.2, windowMs: 10_000, slack: 100 };

type Step =
  | { readonly kind: 'request' | 'retry'; readonly host: number }
  | { readonly kind: 'join' }
  | { readonly kind: 'pass'; readonly ms: number };

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.nat(11).map((host): Step => ({ kind: 'request', host })) },
  { weight: 12, arbitrary: fc.nat(11).map((host): Step => ({ kind: 'retry', host })) },
  { weight: 1, arbitrary: fc.constant<Step>({ kind: 'join' }) },
  {
    weight: 2,
    arbitrary: fc.integer({ min: 1, max: 3000 }).map((ms): Step => ({ kind: 'pass', ms })),
  },
);

/**
 * Simulates hosts that join one by one; returns true if all together exceed the fleet-wide budget.
 */
function isOverspent(steps: readonly Step[], hostCount: (members: number) => number): boolean {
  const clock = new ManualClock();
  let members = 3;
  const budgets: RetryBudget[] = [];
  const requests: number[] = [];
  const retries: number[] = [];
  const countSince = (times: readonly number[], sinceMs: number) =>
    times.filter((instant) => instant > sinceMs).length;
  for (const step of steps) {
    const nowMs = clock.monotonicMs();
    if (step.kind === 'pass') clock.skip(step.ms);
    if (step.kind === 'join') members = Math.min(12, members + 1);
    if (step.kind === 'request' || step.kind === 'retry') {
      const host = step.host % members;
      const budget = (budgets[host] ??= new RetryBudget(clock, FIGURES, () => hostCount(members)));
      if (step.kind === 'request') {
        budget.onRequest('s');
        requests.push(nowMs);
      } else if (budget.tryTake('s')) retries.push(nowMs);
    }
    const sinceMs = clock.monotonicMs() - FIGURES.windowMs;
    const allowed = FIGURES.ratio * countSince(requests, sinceMs) + FIGURES.slack;
    if (countSince(retries, sinceMs) > allowed) return true;
  }
  return false;
}

describe('RetryBudget', () => {
  const steps = fc.array(stepArbitrary, { minLength: 300, maxLength: 600 });

  it('keeps the retries of all hosts within the fleet-wide budget while hosts join', () => {
    fc.assert(
      fc.property(steps, (sequence) => !isOverspent(sequence, (members) => members)),
      { numRuns: 100, seed: 3 },
    );
  });

  it('exceeds the fleet-wide budget if hosts do not count each other (injected fault)', () => {
    const found = fc.check(
      fc.property(steps, (sequence) => !isOverspent(sequence, () => 1)),
      { numRuns: 100, seed: 3 },
    );
    expect(found.failed).toBe(true);
  });
});

describe('decideRetry', () => {
  const inputs: RetryInputs = {
    failure: 'unknown',
    mayRepeat: true,
    attemptsSent: 1,
    attemptsUndelivered: 0,
    maxAttempts: 2,
    timeLeftMs: 1000,
    isQuarantined: false,
    takeRetry: (): boolean => true,
  };

  it.each([
    [{}, 'allowed'],
    [{ mayRepeat: false }, 'may_not_be_repeated'],
    [{ mayRepeat: false, failure: 'failed' }, 'may_not_be_repeated'],
    [{ mayRepeat: false, failure: 'not_run' }, 'allowed'],
    [{ attemptsSent: 2 }, 'attempts_used'],
    [{ timeLeftMs: 10 }, 'no_time_left'],
    [{ isQuarantined: true }, 'quarantined'],
    [{ isQuarantined: true, failure: 'not_sent', attemptsSent: 0 }, 'quarantined'],
    [{ takeRetry: (): boolean => false }, 'budget_spent'],
    [
      { failure: 'not_sent', mayRepeat: false, attemptsSent: 0, takeRetry: (): boolean => false },
      'nothing_was_sent',
    ],
    [{ failure: 'not_sent', attemptsUndelivered: 9 }, 'unreachable'],
    [{ failure: 'misdirected', mayRepeat: false, attemptsSent: 9 }, 'allowed'],
    [{ failure: 'misdirected', attemptsUndelivered: 4 }, 'unreachable'],
    [{ failure: 'misdirected', takeRetry: (): boolean => false }, 'budget_spent'],
  ] as const)('decides %o as %s', (change, why) => {
    expect(decideRetry({ ...inputs, ...change }).why).toBe(why);
  });
});
