import { repeatUsingAfter } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

interface Timer {
  readonly dueMs: Milliseconds;
  readonly order: number;
  readonly callback: () => void;
}

const FLUSH_TURNS = 20;

/** Runs the continuations of promises that are already settled. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < FLUSH_TURNS; turn += 1) await Promise.resolve();
}

/** A clock that advances only when a test advances it. */
export class ManualClock implements Clock {
  #nowMs: Milliseconds = 1000;
  #order = 0;
  readonly #timers = new Set<Timer>();

  monotonicMs(): Milliseconds {
    return this.#nowMs;
  }

  wallMs(): Milliseconds {
    return this.#nowMs;
  }

  after(delayMs: Milliseconds, callback: () => void): CancelTimer {
    this.#order += 1;
    const timer = { dueMs: this.#nowMs + delayMs, order: this.#order, callback };
    this.#timers.add(timer);
    return () => {
      this.#timers.delete(timer);
    };
  }

  every(periodMs: Milliseconds, callback: () => void): CancelTimer {
    return repeatUsingAfter(this, periodMs, callback);
  }

  #nextDue(untilMs: Milliseconds): Timer | undefined {
    let next: Timer | undefined;
    for (const timer of this.#timers) {
      if (timer.dueMs > untilMs) continue;
      const isSooner =
        !next ||
        timer.dueMs < next.dueMs ||
        (timer.dueMs === next.dueMs && timer.order < next.order);
      if (isSooner) next = timer;
    }
    return next;
  }

  /** Advances the time, firing due timers in order and letting promises settle after each. */
  async advance(byMs: Milliseconds): Promise<void> {
    const untilMs = this.#nowMs + byMs;
    await flushPromises();
    for (let timer = this.#nextDue(untilMs); timer; timer = this.#nextDue(untilMs)) {
      this.#timers.delete(timer);
      this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
      timer.callback();
      await flushPromises();
    }
    this.#nowMs = untilMs;
  }

  /** Advances the time without firing timers, as for a process that was suspended and resumes. */
  skip(byMs: Milliseconds): void {
    this.#nowMs += byMs;
  }
}
