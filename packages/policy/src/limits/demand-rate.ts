import type { Milliseconds } from '@poppypond/core';

const MS_PER_SECOND = 1000;

/** Recent demand in units a second; half of what was seen is forgotten after `halfLifeMs`. */
export class DemandRate {
  #units = 0;
  #atMs: Milliseconds;

  constructor(
    readonly halfLifeMs: Milliseconds,
    nowMs: Milliseconds,
  ) {
    this.#atMs = nowMs;
  }

  #fade(nowMs: Milliseconds): void {
    this.#units *= 0.5 ** ((nowMs - this.#atMs) / this.halfLifeMs);
    this.#atMs = nowMs;
  }

  add(units: number, nowMs: Milliseconds): void {
    this.#fade(nowMs);
    this.#units += units;
  }

  unitsPerSecond(nowMs: Milliseconds): number {
    this.#fade(nowMs);
    return (this.#units * Math.LN2 * MS_PER_SECOND) / this.halfLifeMs;
  }
}
