import type { Milliseconds } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/** Capacity (`burstUnits`) and refill rate of a token bucket, in cost units. */
export interface TokenBucketSize {
  readonly unitsPerSecond: number;
  readonly burstUnits: number;
}

/**
 * A token bucket whose tokens are cost units (see `requestCost`), not prompt tokens. Its balance
 * becomes negative if a call costs more than was charged in advance; the bucket then refuses until
 * the refill has made up for it.
 */
export class TokenBucket {
  #units: number;
  #updatedAtMs: Milliseconds;

  constructor(
    public size: TokenBucketSize,
    nowMs: Milliseconds,
    units = size.burstUnits,
  ) {
    this.#units = units;
    this.#updatedAtMs = nowMs;
  }

  /** Balance in units, with the refill up to `nowMs`; can be negative. */
  available(nowMs: Milliseconds): number {
    const refilledUnits = ((nowMs - this.#updatedAtMs) * this.size.unitsPerSecond) / MS_PER_SECOND;
    this.#units = Math.min(this.size.burstUnits, this.#units + refilledUnits);
    this.#updatedAtMs = nowMs;
    return this.#units;
  }

  canTake(units: number, nowMs: Milliseconds): boolean {
    return this.available(nowMs) >= units;
  }

  /**
   * Deducts units without a check of the balance. A negative value refunds them, up to the
   * capacity.
   */
  take(units: number, nowMs: Milliseconds): void {
    this.#units = Math.min(this.size.burstUnits, this.available(nowMs) - units);
  }

  /** Time until `units` can be taken; infinite if the bucket never holds as many. */
  timeUntilAvailableMs(units: number, nowMs: Milliseconds): Milliseconds {
    if (units > this.size.burstUnits) return Number.POSITIVE_INFINITY;
    const missingUnits = units - this.available(nowMs);
    if (missingUnits <= 0) return 0;
    if (this.size.unitsPerSecond <= 0) return Number.POSITIVE_INFINITY;
    return (missingUnits / this.size.unitsPerSecond) * MS_PER_SECOND;
  }
}
