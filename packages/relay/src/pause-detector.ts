import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

const CHECK_PERIOD_MS: Milliseconds = 250;
/**
 * A process that did not run for this long was stopped, or its host was suspended. A host that runs
 * eight times slower than usual stays below this. Peers consider a host silent after 2.5 s.
 */
const MIN_PAUSE_MS: Milliseconds = 1000;

/** Receives the duration of a process pause. */
export type PauseListener = (pausedMs: Milliseconds) => void;

/**
 * Detects that the process was paused. After a pause its state is stale: other hosts may have taken
 * over from it, and messages sent meanwhile have not reached it. Call `check` before processing any
 * outside input, since a timer may fire only after that input.
 */
export class PauseDetector {
  #lastCheckAtMs: Milliseconds;
  readonly #listeners: PauseListener[] = [];

  constructor(readonly clock: Clock) {
    this.#lastCheckAtMs = clock.monotonicMs();
  }

  /** Calls `listener` after each pause, before the first input after the pause is processed. */
  onPause(listener: PauseListener): void {
    this.#listeners.push(listener);
  }

  /** Checks periodically until the returned function is called. */
  start(): CancelTimer {
    this.#lastCheckAtMs = this.clock.monotonicMs();
    return this.clock.every(CHECK_PERIOD_MS, () => {
      this.check();
    });
  }

  /** Checks for a pause now. */
  check(): void {
    const nowMs = this.clock.monotonicMs();
    const pausedMs = nowMs - this.#lastCheckAtMs;
    this.#lastCheckAtMs = nowMs;
    if (pausedMs < MIN_PAUSE_MS) return;
    for (const listener of this.#listeners) listener(pausedMs);
  }
}
