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
const BOOT_CLOCK_CHECK_PERIOD_MS: Milliseconds = 500;

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
  #suspendedMs: Milliseconds = 0;
  /** How far the time of day is ahead of the steady clock. */
  #wallOffsetMs: Milliseconds;
  /** How far the clock that counts suspended time was ahead of the steady clock when first read. */
  #bootOffsetMs: Milliseconds | undefined;
  #checkedAtMs: Milliseconds;

  constructor(readonly sources: ClockSources = SYSTEM_SOURCES) {
    const steadyMs = sources.steadyMs();
    this.#wallOffsetMs = sources.wallMs() - steadyMs;
    this.#checkedAtMs = steadyMs;
    this.#bootOffsetMs = this.#readBootOffset();
  }

  monotonicMs(): Milliseconds {
    const steadyMs = this.sources.steadyMs();
    if (this.#mayHaveBeenSuspended(steadyMs)) this.#checkForSuspension(steadyMs);
    return steadyMs + this.#suspendedMs;
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

  #mayHaveBeenSuspended(steadyMs: Milliseconds): boolean {
    if (steadyMs - this.#checkedAtMs >= BOOT_CLOCK_CHECK_PERIOD_MS) return true;
    return Math.abs(this.sources.wallMs() - steadyMs - this.#wallOffsetMs) > CLOCK_NOISE_MS;
  }

  #checkForSuspension(steadyMs: Milliseconds): void {
    this.#checkedAtMs = steadyMs;
    this.#wallOffsetMs = this.sources.wallMs() - steadyMs;
    const bootOffsetMs = this.#readBootOffset();
    if (bootOffsetMs === undefined) return;
    this.#bootOffsetMs ??= bootOffsetMs;
    const suspendedMs = bootOffsetMs - this.#bootOffsetMs;
    if (suspendedMs <= this.#suspendedMs + CLOCK_NOISE_MS) return;
    this.#suspendedMs = suspendedMs;
    this.#rescheduleTimers();
  }

  /** A process that is stopped between two readings must not take that for a suspension. */
  #readBootOffset(): Milliseconds | undefined {
    const { steadyMs, bootMs } = this.sources;
    const beforeMs = steadyMs();
    const readMs = bootMs();
    const tookMs = steadyMs() - beforeMs;
    return readMs === undefined || tookMs > CLOCK_NOISE_MS ? undefined : readMs - beforeMs;
  }

  /** The system's timers did not run either. */
  #rescheduleTimers(): void {
    const nowMs = this.sources.steadyMs() + this.#suspendedMs;
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
