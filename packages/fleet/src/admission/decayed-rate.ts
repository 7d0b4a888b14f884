import type { Milliseconds } from '@poppypond/core';

const MS_PER_SECOND = 1000;
/** Shortest period that a rate is averaged over, so that one early amount does not count as many. */
const MIN_AVERAGED_MS: Milliseconds = 250;

/** An exponentially decaying average of an amount per second. */
export class DecayedRate {
  #sum = 0;
  #atMs: Milliseconds | undefined;
  #sinceMs: Milliseconds = 0;

  constructor(readonly halfLifeMs: Milliseconds) {}

  /** When an amount was added last; undefined if none was. */
  get lastAtMs(): Milliseconds | undefined {
    return this.#atMs;
  }

  /** Adds an amount that was requested or granted at `nowMs`. */
  add(amount: number, nowMs: Milliseconds): void {
    if (this.#atMs === undefined) this.#sinceMs = nowMs;
    this.#sum = this.#decayed(nowMs) + amount;
    this.#atMs = nowMs;
  }

  /** Sets the rate as of `nowMs`, as another host has estimated it. */
  restore(perSecond: number, nowMs: Milliseconds): void {
    this.#sum = (perSecond * this.halfLifeMs) / (Math.LN2 * MS_PER_SECOND);
    this.#atMs = nowMs;
    this.#sinceMs = Number.NEGATIVE_INFINITY;
  }

  /**
   * The average per second; that of the time since the first amount while this is short, but of
   * `minAveragedMs` at least.
   */
  perSecond(nowMs: Milliseconds, minAveragedMs = MIN_AVERAGED_MS): number {
    if (this.#atMs === undefined) return 0;
    const ageMs = Math.max(minAveragedMs, nowMs - this.#sinceMs);
    const averagedMs = (this.halfLifeMs / Math.LN2) * (1 - 0.5 ** (ageMs / this.halfLifeMs));
    return (this.#decayed(nowMs) / averagedMs) * MS_PER_SECOND;
  }

  #decayed(nowMs: Milliseconds): number {
    if (this.#atMs === undefined) return 0;
    return this.#sum * 0.5 ** (Math.max(0, nowMs - this.#atMs) / this.halfLifeMs);
  }
}
