import type { Milliseconds } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/**
 * Recent demand in units per second, with exponential decay: the weight of a value halves every
 * `halfLifeMs`.
 */
export class DemandRate {
  #units = 0;
  #updatedAtMs: Milliseconds;

  constructor(
    readonly halfLifeMs: Milliseconds,
    nowMs: Milliseconds,
  ) {
    this.#updatedAtMs = nowMs;
  }

  #decay(nowMs: Milliseconds): void {
    this.#units *= 0.5 ** ((nowMs - this.#updatedAtMs) / this.halfLifeMs);
    this.#updatedAtMs = nowMs;
  }

  add(units: number, nowMs: Milliseconds): void {
    this.#decay(nowMs);
    this.#units += units;
  }

  unitsPerSecond(nowMs: Milliseconds): number {
    this.#decay(nowMs);
    return (this.#units * Math.LN2 * MS_PER_SECOND) / this.halfLifeMs;
  }
}
