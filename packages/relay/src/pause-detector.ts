import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

const CHECK_PERIOD_MS: Milliseconds = 250;
/**
 * A process that did nothing for this long was stopped, or its machine suspended; hosts that run eight times
 * slower than usual are not taken for that. Peers count a host as silent after 2.5 s.
 */
const MIN_PAUSE_MS: Milliseconds = 1000;

/** Called with the time for which the process stood still. */
export type PauseListener = (pausedMs: Milliseconds) => void;

/**
 * Notices that the process stood still. What it believed is old then: others may have taken over from it,
 * and nothing that was told meanwhile has reached it. To be asked before anything that comes from outside is
 * taken in, as a timer may be later than that.
 */
export class PauseDetector {
  #lastCheckAtMs: Milliseconds;
  readonly #listeners: PauseListener[] = [];

  constructor(readonly clock: Clock) {
    this.#lastCheckAtMs = clock.monotonicMs();
  }

  /** `listener` is called after each pause, before what came first after it is taken in. */
  onPause(listener: PauseListener): void {
    this.#listeners.push(listener);
  }

  /** Looks from time to time, until the function returned is called. */
  start(): CancelTimer {
    this.#lastCheckAtMs = this.clock.monotonicMs();
    return this.clock.every(CHECK_PERIOD_MS, () => {
      this.check();
    });
  }

  /** Looks now. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    const pausedMs = nowMs - this.#lastCheckAtMs;
    this.#lastCheckAtMs = nowMs;
    if (pausedMs < MIN_PAUSE_MS) return;
    for (const listener of this.#listeners) listener(pausedMs);
  }
}
