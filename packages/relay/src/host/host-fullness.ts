import type { Clock, Milliseconds } from '@poppypond/core';
import type { HostBudget } from './host-budget.js';

/** A host counts as full after this time above the first watermark, or with a busy link. */
const FULL_AFTER_MS: Milliseconds = 1000;
/** A full host has room again after this time below both. */
const ROOM_AFTER_MS: Milliseconds = 2000;
/** Spreads the moments at which hosts that were full together take new callers again. */
const ROOM_SPREAD_MS: Milliseconds = 1000;

/** Whether the host has been above its first watermark, or used most of its link, for some time. */
export class HostFullness {
  #isFull = false;
  #isAbove = false;
  /** Since when `#isAbove` has its value. */
  #sinceMs: Milliseconds;
  #roomAfterMs: Milliseconds = ROOM_AFTER_MS;

  constructor(
    readonly clock: Clock,
    readonly budget: HostBudget,
    readonly random: () => number,
  ) {
    this.#sinceMs = clock.monotonicMs();
    budget.onLevel(() => {
      this.#update();
    });
  }

  get isFull(): boolean {
    this.#update();
    return this.#isFull;
  }

  #update(): void {
    const nowMs = this.clock.monotonicMs();
    const forMs = nowMs - this.#sinceMs;
    if (this.#isAbove && !this.#isFull && forMs >= FULL_AFTER_MS) {
      this.#isFull = true;
      this.#roomAfterMs = ROOM_AFTER_MS + this.random() * ROOM_SPREAD_MS;
    } else if (!this.#isAbove && this.#isFull && forMs >= this.#roomAfterMs) this.#isFull = false;
    const isAbove = this.budget.level !== 'free' || this.budget.link?.isBusy === true;
    if (isAbove === this.#isAbove) return;
    this.#isAbove = isAbove;
    this.#sinceMs = nowMs;
  }
}
