import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import type { Budget } from '@poppypond/objects';
import { Result } from 'true-myth';
import { TokenBucket } from './token-bucket.js';

/**
 * A budget that applies to a request; its id is `workspace/NAME`, `user/WORKSPACE/USER` or
 * `pool/NAME`.
 */
export interface AppliedBudget {
  readonly id: string;
  readonly budget: Budget;
}

/** Units that are charged before a request runs, and settled with the actual cost afterwards. */
export interface Charge {
  readonly budgets: readonly AppliedBudget[];
  readonly units: number;
}

/** Returns this host's share of a budget, from 0 to 1. */
export type ShareOf = (budgetId: string) => number;

const MIN_RETRY_AFTER_MS = 100;
const FALLBACK_RETRY_AFTER_MS = 5000;

/**
 * Token buckets for the budgets of users, workspaces and pools, each scaled to this host's share of
 * the budget.
 */
export class Budgets {
  readonly #buckets = new Map<string, TokenBucket>();

  constructor(readonly shareOf: ShareOf) {}

  #bucketFor({ id, budget }: AppliedBudget, nowMs: Milliseconds): TokenBucket {
    const share = this.shareOf(id);
    const size = {
      unitsPerSecond: budget.unitsPerSecond * share,
      burstUnits: budget.burstUnits * share,
    };
    let bucket = this.#buckets.get(id);
    if (!bucket) {
      bucket = new TokenBucket(size, nowMs, 0);
      this.#buckets.set(id, bucket);
    }
    bucket.available(nowMs);
    bucket.size = size;
    return bucket;
  }

  /**
   * Charges all budgets or none. The fault names the first budget that does not cover the units.
   */
  charge(
    budgets: readonly AppliedBudget[],
    units: number,
    nowMs: Milliseconds,
  ): Result<Charge, Fault> {
    for (const applied of budgets) {
      if (units > applied.budget.burstUnits) {
        const detail = `request costs ${String(units)} units, the burst is ${String(applied.budget.burstUnits)}`;
        return Result.err(fault('over_budget_size', detail, { path: applied.id }));
      }
      const bucket = this.#bucketFor(applied, nowMs);
      if (!bucket.canTake(units, nowMs))
        return Result.err(limitExceededFault(applied, bucket, units, nowMs));
    }
    for (const applied of budgets) this.#bucketFor(applied, nowMs).take(units, nowMs);
    return Result.ok({ budgets, units });
  }

  /** Refunds or charges the difference once the actual cost is known. */
  settle(charge: Charge, actualUnits: number, nowMs: Milliseconds): void {
    for (const applied of charge.budgets) {
      this.#bucketFor(applied, nowMs).take(actualUnits - charge.units, nowMs);
    }
  }

  /**
   * Units that this host can spend now; negative after requests that cost more than was charged.
   */
  available(applied: AppliedBudget, nowMs: Milliseconds): number {
    return this.#bucketFor(applied, nowMs).available(nowMs);
  }

  /**
   * Must be called when this host's share has become smaller: the refill up to now is credited at
   * the old share, and the refill from now on at the new one. Otherwise the next call would credit
   * all the time since the last one at the old share.
   */
  onShareChanged(applied: AppliedBudget, nowMs: Milliseconds): void {
    this.#bucketFor(applied, nowMs);
  }

  /**
   * Adds the units that come with a share this host has received, or removes (negative) the units
   * of a share it has transferred. A bucket starts empty: units come only from here and its refill.
   */
  adjustUnits(applied: AppliedBudget, units: number, nowMs: Milliseconds): void {
    this.#bucketFor(applied, nowMs).take(-units, nowMs);
  }
}

function limitExceededFault(
  applied: AppliedBudget,
  bucket: TokenBucket,
  units: number,
  nowMs: Milliseconds,
): Fault {
  const waitMs = bucket.timeUntilAvailableMs(units, nowMs);
  const retryAfterMs = Number.isFinite(waitMs)
    ? Math.max(MIN_RETRY_AFTER_MS, waitMs)
    : FALLBACK_RETRY_AFTER_MS;
  return fault('limit_exceeded', `token budget ${applied.id} is exhausted`, {
    path: applied.id,
    retryAfterMs,
  });
}
