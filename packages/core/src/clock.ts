import { readBootClock } from './boot-clock.js';

/** A duration or an instant in milliseconds. Instants are comparable only within one clock. */
export type Milliseconds = number;

/** Stops a scheduled callback; calling it again has no effect. */
export type CancelTimer = () => void;

/**
 * The only source of time. `monotonicMs` never goes back and is used for all timeouts, leases and
 * ages. `wallMs` is Unix time and is used only for records that people read and for rows whose age
 * another host must judge.
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
  /** Never goes back, and does not advance while the host is suspended. */
  readonly steadyMs: () => Milliseconds;
  /** Unix time, which may be set forward and back. */
  readonly wallMs: () => Milliseconds;
  /**
   * Never goes back, and advances while the host is suspended. Returns undefined if the clock
   * cannot be read, or not yet.
   */
  readonly bootMs: () => Milliseconds | undefined;
}

const SYSTEM_SOURCES: ClockSources = {
  steadyMs: () => performance.now(),
  wallMs: () => Date.now(),
  bootMs: readBootClock,
};

/**
 * Upper bound of the difference between two clocks that are read one after the other without a
 * suspension.
 */
const CLOCK_NOISE_MS: Milliseconds = 20;
/**
 * The boot clock is read at least this often, because a simultaneous step of the wall clock can
 * hide a suspension. It is not read each time, because a read takes 1.6 us, ten times as long as a
 * read of the wall clock.
 */
const BOOT_CLOCK_CHECK_PERIOD_MS: Milliseconds = 500;

interface Timer {
  readonly dueMs: Milliseconds;
  readonly callback: () => void;
  handle: NodeJS.Timeout;
}

/**
 * The clock of the operating system. The steady clock does not advance while the host is suspended,
 * so a lease measured by it would last longer by the time of the suspension. `monotonicMs`
 * therefore adds the suspended time. A changed offset between the wall clock and the steady clock
 * indicates a possible suspension. As the wall clock can also be set, the boot clock determines how
 * long the suspension was.
 */
export class SystemClock implements Clock {
  readonly #timers = new Set<Timer>();
  #suspendedMs: Milliseconds = 0;
  /** How far the wall clock is ahead of the steady clock. */
  #wallOffsetMs: Milliseconds;
  /** How far the boot clock was ahead of the steady clock when it was first read. */
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

  /**
   * Returns undefined if the boot clock is not available, or if reading it took too long: a process
   * that is stopped between two reads must not mistake this for a suspension.
   */
  #readBootOffset(): Milliseconds | undefined {
    const { steadyMs, bootMs } = this.sources;
    const beforeMs = steadyMs();
    const readMs = bootMs();
    const tookMs = steadyMs() - beforeMs;
    return readMs === undefined || tookMs > CLOCK_NOISE_MS ? undefined : readMs - beforeMs;
  }

  /**
   * Reschedules all timers, as the timers of the operating system do not advance during a
   * suspension either.
   */
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

/** Implements `Clock.every` with the clock's `after`, for clocks without periodic timers. */
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

/** Resolves after `delayMs` on `clock`. */
export function delay(clock: Clock, delayMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
