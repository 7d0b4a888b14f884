import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import type { Budget } from '@poppypond/objects';
import { Result } from 'true-myth';
import { TokenBucket } from './token-bucket.js';

/** A budget that applies to a request: `workspace/NAME`, `user/WORKSPACE/USER` or `pool/NAME`. */
export interface AppliedBudget {
  readonly id: string;
  readonly budget: Budget;
}

/** What was charged before a request ran, to be settled after. */
export interface Charge {
  readonly budgets: readonly AppliedBudget[];
  readonly units: number;
}

/** This host's share of a budget, from 0 to 1. */
export type ShareOf = (budgetId: string) => number;

const MIN_RETRY_AFTER_MS = 100;
const FALLBACK_RETRY_AFTER_MS = 5000;

/** The budgets of users, workspaces and pools, each scaled to this host's share of it. */
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

  /** Charges all budgets or none. The fault names the first budget that refuses. */
  charge(
    budgets: readonly AppliedBudget[],
    units: number,
    nowMs: Milliseconds,
  ): Result<Charge, Fault> {
    for (const applied of budgets) {
      if (units > applied.budget.burstUnits) {
        const detail = `${String(units)} units, at most ${String(applied.budget.burstUnits)}`;
        return Result.err(fault('over_budget_size', detail, { path: applied.id }));
      }
      const bucket = this.#bucketFor(applied, nowMs);
      if (!bucket.canTake(units, nowMs))
        return Result.err(limitExceededFault(applied, bucket, units, nowMs));
    }
    for (const applied of budgets) this.#bucketFor(applied, nowMs).take(units, nowMs);
    return Result.ok({ budgets, units });
  }

  /** Gives back or charges the difference once the true cost is known. */
  settle(charge: Charge, actualUnits: number, nowMs: Milliseconds): void {
    for (const applied of charge.budgets) {
      this.#bucketFor(applied, nowMs).take(actualUnits - charge.units, nowMs);
    }
  }

  /** Units that this host could spend now. */
  available(applied: AppliedBudget, nowMs: Milliseconds): number {
    return this.#bucketFor(applied, nowMs).available(nowMs);
  }

  /**
   * Call when this host's share has become smaller: what was refilled so far counts at the old
   * share, what follows at the new one. Without this the next call refilled at the old share.
   */
  onShareChanged(applied: AppliedBudget, nowMs: Milliseconds): void {
    this.#bucketFor(applied, nowMs);
  }

  /**
   * Moves units into this host's bucket with a share that it has come to hold, or out of it
   * (negative). A bucket starts empty: units come only from here and from its own refill.
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
  return fault('limit_exceeded', `token budget ${applied.id}`, { path: applied.id, retryAfterMs });
}
