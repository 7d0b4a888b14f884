import type { Milliseconds } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/** A bucket's size and refill, in cost units. */
export interface BucketSize {
  readonly unitsPerSecond: number;
  readonly burstUnits: number;
}

/**
 * A token bucket in cost units. It may go below zero when a call cost more than was charged
 * before; it then refuses until it has recovered.
 */
export class TokenBucket {
  #units: number;
  #updatedAtMs: Milliseconds;

  constructor(
    public size: BucketSize,
    nowMs: Milliseconds,
    units = size.burstUnits,
  ) {
    this.#units = units;
    this.#updatedAtMs = nowMs;
  }

  /** What can be spent now. */
  available(nowMs: Milliseconds): number {
    const refilledUnits = ((nowMs - this.#updatedAtMs) * this.size.unitsPerSecond) / MS_PER_SECOND;
    this.#units = Math.min(this.size.burstUnits, this.#units + refilledUnits);
    this.#updatedAtMs = nowMs;
    return this.#units;
  }

  canTake(units: number, nowMs: Milliseconds): boolean {
    return this.available(nowMs) >= units;
  }

  /** Spends units; negative gives them back, up to the bucket's size. */
  take(units: number, nowMs: Milliseconds): void {
    this.#units = Math.min(this.size.burstUnits, this.available(nowMs) - units);
  }

  /** How long until `units` can be taken; infinite where the bucket never holds so many. */
  timeUntilAvailableMs(units: number, nowMs: Milliseconds): Milliseconds {
    if (units > this.size.burstUnits) return Number.POSITIVE_INFINITY;
    const missingUnits = units - this.available(nowMs);
    if (missingUnits <= 0) return 0;
    if (this.size.unitsPerSecond <= 0) return Number.POSITIVE_INFINITY;
    return (missingUnits / this.size.unitsPerSecond) * MS_PER_SECOND;
  }
}
