import type { Clock, Milliseconds } from '@poppypond/core';
import type { RequestDurations } from './request-durations.js';

/** Instants of a stop, on the monotonic clock. */
interface StopTimes {
  /** Until then the load balancer may send new connections. */
  readonly newConnectionsUntilMs: Milliseconds;
  /** Requests that are not finished by then are ended. */
  readonly endsAtMs: Milliseconds;
}

/**
 * How much longer than all recent ones a request may take that has to end before the host does: no
 * one can repeat it if it is cut.
 */
const UNREPEATABLE_MARGIN = 2;

/** Decides which requests a host still accepts and starts while it stops. */
export class PlannedStop {
  #times: StopTimes | undefined;

  constructor(
    readonly clock: Clock,
    readonly durations: RequestDurations,
  ) {}

  /** Whether requests that are not finished are ended now. */
  get isOver(): boolean {
    return this.#leftMs <= 0;
  }

  /** Records a request that was served, and when its first attempt started. */
  recordServed(route: string, startedAtMs: Milliseconds): void {
    this.durations.record(route, this.clock.monotonicMs() - startedAtMs);
  }

  begin(times: StopTimes): void {
    this.#times = times;
  }

  /**
   * Whether a request that has just arrived is accepted. `leftMs`: time until its deadline, by which
   * it has a response at the latest. Once the load balancer sends this host nothing more, requests
   * arrive only on connections that were kept, and only those are accepted that are sure to end.
   */
  accepts(route: string, leftMs: Milliseconds, mayRepeat: boolean): boolean {
    if (!this.#times || leftMs <= this.#leftMs) return true;
    return (
      this.clock.monotonicMs() <= this.#times.newConnectionsUntilMs &&
      this.mayStart(route, leftMs, mayRepeat)
    );
  }

  /**
   * Whether a request that no server was sent yet is expected to end before the host does, as all
   * recent ones of its route would.
   */
  mayStart(route: string, leftMs: Milliseconds, mayRepeat: boolean): boolean {
    if (!this.#times || leftMs <= this.#leftMs) return true;
    const longestMs = this.durations.longestMs(route);
    const margin = mayRepeat ? 1 : UNREPEATABLE_MARGIN;
    return longestMs !== undefined && longestMs * margin <= this.#leftMs;
  }

  get #leftMs(): Milliseconds {
    const endsAtMs = this.#times?.endsAtMs ?? Number.POSITIVE_INFINITY;
    return endsAtMs - this.clock.monotonicMs();
  }
}
