import { readBootClock } from './boot-clock.js';

/** A duration or an instant in milliseconds. Instants are comparable only within one clock. */
export type Milliseconds = number;

/** Stops a scheduled callback; calling it again has no effect. */
export type CancelTimer = () => void;

/**
 * The one source of time. `monotonicMs` never goes back and is used for every limit;
 * `wallMs` is Unix time and is used only for records that people read and for rows
 * whose age another host must judge.
 */
export interface Clock {
  monotonicMs(): Milliseconds;
  wallMs(): Milliseconds;
  /** Calls `callback` once after `delayMs`. A pending timer doesn't keep the process alive. */
  after(delayMs: Milliseconds, callback: () => void): CancelTimer;
  /** Calls `callback` every `periodMs` until cancelled. */
  every(periodMs: Milliseconds, callback: () => void): CancelTimer;
}

/** The clocks of the operating system. */
export interface ClockSources {
  /** Never goes back, and stands still while the machine is suspended. */
  readonly steadyMs: () => Milliseconds;
  /** The time of day: may be set forward and back. */
  readonly wallMs: () => Milliseconds;
  /**
   * Never goes back, and counts the time for which the machine was suspended; undefined where it can't be
   * read, or not yet.
   */
  readonly bootMs: () => Milliseconds | undefined;
}

const SYSTEM_SOURCES: ClockSources = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  bootMs: readBootClock,
};

/** Two clocks that are read one after the other differ by less while the machine is awake. */
const CLOCK_NOISE_MS: Milliseconds = 20;
/**
 * A step of the time of day at the same moment can hide a suspension from it, so the clock that counts
 * suspended time, which costs 1.6 us to read, ten times as much, is read this often anyway.
 */
const LOOK_PERIOD_MS: Milliseconds = 500;

interface Timer {
  readonly dueMs: Milliseconds;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
}

/**
 * The operating system's clock. The steady clock stands still while the machine is suspended, and a lease that
 * was measured by it would hold for as much longer as the machine slept; so the time is added that only the
 * other clocks count. The time of day tells at each look that there may be some, and as it is also set, the
 * clock that counts suspended time tells how much.
 */
export class SystemClock implements Clock {
  readonly #timers = new Set<Timer>();
  #sleptMs: Milliseconds = 0;
  /** How far the time of day is ahead of the steady clock. */
  #wallAheadMs: Milliseconds;
  /** How far the clock that counts suspended time was ahead of the steady clock when first read. */
  #bootAheadMs: Milliseconds | undefined;
  #lookedAtMs: Milliseconds;

  constructor(readonly sources: ClockSources = SYSTEM_SOURCES) {
    const steadyMs = sources.steadyMs();
    this.#wallAheadMs = sources.wallMs() - steadyMs;
    this.#lookedAtMs = steadyMs;
    this.#bootAheadMs = this.#readBootAhead();
  }

  monotonicMs(): Milliseconds {
    const steadyMs = this.sources.steadyMs();
    if (this.#mayHaveSlept(steadyMs)) this.#look(steadyMs);
    return steadyMs + this.#sleptMs;
  }

  wallMs(): Milliseconds {
    return this.sources.wallMs();
  }

  after(delayMs: Milliseconds, callback: () => void): CancelTimer {
    const dueMs = this.monotonicMs() + delayMs;
    const timer: Timer = { dueMs, callback, handle: this.#arm(delayMs, () => this.#fire(timer)) };
    this.#timers.add(timer);
    return () => {
      clearTimeout(timer.handle);
      this.#timers.delete(timer);
    };
  }

  every(periodMs: Milliseconds, callback: () => void): CancelTimer {
    return repeatUsingAfter(this, periodMs, callback);
  }

  #arm(delayMs: Milliseconds, callback: () => void): NodeJS.Timeout {
    return setTimeout(callback, Math.max(0, delayMs)).unref();
  }

  #fire(timer: Timer): void {
    this.#timers.delete(timer);
    timer.callback();
  }

  #mayHaveSlept(steadyMs: Milliseconds): boolean {
    if (steadyMs - this.#lookedAtMs >= LOOK_PERIOD_MS) return true;
    return Math.abs(this.sources.wallMs() - steadyMs - this.#wallAheadMs) > CLOCK_NOISE_MS;
  }

  #look(steadyMs: Milliseconds): void {
    this.#lookedAtMs = steadyMs;
    this.#wallAheadMs = this.sources.wallMs() - steadyMs;
    const bootAheadMs = this.#readBootAhead();
    if (bootAheadMs === undefined) return;
    this.#bootAheadMs ??= bootAheadMs;
    const sleptMs = bootAheadMs - this.#bootAheadMs;
    if (sleptMs <= this.#sleptMs + CLOCK_NOISE_MS) return;
    this.#sleptMs = sleptMs;
    this.#callWhatWasDue();
  }

  /** A process that is stopped between two readings must not take that for a suspension. */
  #readBootAhead(): Milliseconds | undefined {
    const { steadyMs, bootMs } = this.sources;
    const beforeMs = steadyMs();
    const readMs = bootMs();
    const tookMs = steadyMs() - beforeMs;
    return readMs === undefined || tookMs > CLOCK_NOISE_MS ? undefined : readMs - beforeMs;
  }

  /** The system's timers did not run either. */
  #callWhatWasDue(): void {
    const nowMs = this.sources.steadyMs() + this.#sleptMs;
    for (const timer of this.#timers) {
      clearTimeout(timer.handle);
      timer.handle = this.#arm(timer.dueMs - nowMs, () => {
        this.#fire(timer);
      });
    }
  }
}

/** `every` by a clock's own `after`, for clocks that have nothing better. */
export function repeatUsingAfter(
  clock: Pick<Clock, 'after'>,
  periodMs: Milliseconds,
  callback: () => void,
): CancelTimer {
  let cancel: CancelTimer = () => undefined;
  const again = () => {
    cancel = clock.after(periodMs, () => {
      again();
      callback();
    });
  };
  again();
  return () => {
    cancel();
  };
}

/** Resolves after `delayMs` of `clock`. */
export function delay(clock: Clock, delayMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
