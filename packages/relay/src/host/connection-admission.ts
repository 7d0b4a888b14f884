import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Dependencies of `ConnectionAdmission`. */
export interface ConnectionAdmissionParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Returns the share of time, since the last call, in which the event loop was not idle. */
  readonly readUtilization: () => number;
  /** Returns how long new connections wait before they are accepted. */
  readonly measureBacklogMs: () => Promise<Milliseconds>;
}

const TICK_MS: Milliseconds = 100;
/** The event loop of a host that can't keep up is never idle. */
const OVERLOADED_UTILIZATION = 0.97;
/** The wait of new connections is measured if this many of the last ticks had no idle time. */
const BUSY_TICKS = 3;
const RECENT_TICKS = 8;
/** Work that piles up after its connections were accepted delays the ticks. */
const MAX_TICK_MS: Milliseconds = 250;
/** A host whose new connections wait for this long gets more than it can serve. */
const MAX_BACKLOG_MS: Milliseconds = 300;
/** The limit rises only below this utilization, so that it does not swing. */
const ROOM_UTILIZATION = 0.9;
/** The first requests after a start take longer, and all hosts may start together. */
const STARTUP_MS: Milliseconds = 5000;
/** The limit ends when no connection has been closed for this many ticks. */
const UNLIMITED_TICKS = 10;
/** The first limit, relative to the requests that were read per second. */
const INITIAL_SHARE = 0.8;
const DECREASE = 0.9;
const INCREASE = 1.05;
/** A host that is ready must always accept some connections. */
const MIN_PER_SECOND = 10;
const MS_PER_SECOND = 1000;

/** What has happened since the last tick. */
interface TickCounts {
  accepted: number;
  dropped: number;
  requests: number;
}

const NO_COUNTS: Readonly<TickCounts> = { accepted: 0, dropped: 0, requests: 0 };

/**
 * Limits the new connections that a host accepts to what it can serve, while new connections wait
 * too long to be accepted. The others are closed with their requests unread, so that their callers
 * try other hosts at once: a host that accepts more works through requests whose callers have given
 * up.
 */
export class ConnectionAdmission {
  #counts: TickCounts = { ...NO_COUNTS };
  #isMeasuring = false;
  readonly #startedAtMs: Milliseconds;
  #tickAtMs: Milliseconds;
  /** Whether each of the last ticks had new connections and no idle time. */
  #recentBusy: readonly boolean[] = [];
  /** Consecutive ticks in which no connection was closed unread. */
  #undroppedTicks = 0;
  /** New connections per second; undefined if they are not limited. */
  #perSecond: number | undefined;
  /** Connections that may be accepted until the next tick. */
  #allowance = Number.POSITIVE_INFINITY;
  #onChange: (isOpen: boolean) => void = () => undefined;

  constructor(readonly parts: ConnectionAdmissionParts) {
    this.#startedAtMs = parts.clock.monotonicMs();
    this.#tickAtMs = this.#startedAtMs;
  }

  /** Sets the callback for when new connections are accepted again, or no longer. */
  onChange(callback: (isOpen: boolean) => void): void {
    this.#onChange = callback;
  }

  start(): CancelTimer {
    return this.parts.clock.every(TICK_MS, () => {
      this.#tick();
    });
  }

  /** Counts an accepted connection. */
  onAccepted(): void {
    this.#counts.accepted += 1;
    if (this.#counts.accepted === this.#allowance) this.#onChange(false);
  }

  /** Counts a connection that was closed unread. */
  onDropped(): void {
    this.#counts.dropped += 1;
    this.parts.metrics.count('poppypond_connections_dropped_total', {});
  }

  /** Counts a request whose head was read. */
  onRequest(): void {
    this.#counts.requests += 1;
  }

  #tick(): void {
    const nowMs = this.parts.clock.monotonicMs();
    const tickMs = nowMs - this.#tickAtMs;
    const counts = this.#counts;
    this.#tickAtMs = nowMs;
    this.#counts = { ...NO_COUNTS };
    const utilization = this.parts.readUtilization();
    this.#undroppedTicks = counts.dropped > 0 ? 0 : this.#undroppedTicks + 1;
    if (this.#perSecond === undefined) this.#detectOverload(utilization, tickMs, counts);
    else this.#adjust(this.#perSecond, utilization, tickMs, counts);
    this.#allowance =
      this.#perSecond === undefined
        ? Number.POSITIVE_INFINITY
        : Math.max(1, Math.round((this.#perSecond * TICK_MS) / MS_PER_SECOND));
    this.#onChange(true);
  }

  #detectOverload(utilization: number, tickMs: Milliseconds, counts: TickCounts): void {
    if (this.#tickAtMs - this.#startedAtMs < STARTUP_MS) return;
    const isBusy = utilization >= OVERLOADED_UTILIZATION && counts.accepted > 0;
    this.#recentBusy = [...this.#recentBusy, isBusy].slice(-RECENT_TICKS);
    const busyCount = this.#recentBusy.filter(Boolean).length;
    if (busyCount < BUSY_TICKS || this.#isMeasuring) return;
    const perSecond = (counts.requests / tickMs) * MS_PER_SECOND;
    void this.#measureBacklog(perSecond, counts);
  }

  async #measureBacklog(requestsPerSecond: number, counts: TickCounts): Promise<void> {
    this.#isMeasuring = true;
    const waitMs = await this.parts.measureBacklogMs().finally(() => {
      this.#isMeasuring = false;
    });
    if (waitMs < MAX_BACKLOG_MS) return;
    this.#perSecond = Math.max(MIN_PER_SECOND, requestsPerSecond * INITIAL_SHARE);
    this.#undroppedTicks = 0;
    this.#log('connections_limited', counts, waitMs);
  }

  #adjust(perSecond: number, utilization: number, tickMs: Milliseconds, counts: TickCounts): void {
    if (this.#undroppedTicks >= UNLIMITED_TICKS) {
      this.#log('connections_unlimited', counts);
      this.#perSecond = undefined;
      this.#recentBusy = [];
      return;
    }
    if (utilization >= OVERLOADED_UTILIZATION || tickMs >= MAX_TICK_MS)
      this.#perSecond = Math.max(MIN_PER_SECOND, perSecond * DECREASE);
    else if (utilization < ROOM_UTILIZATION && counts.dropped > 0)
      this.#perSecond = perSecond * INCREASE;
  }

  #log(event: string, counts: TickCounts, waitMs?: Milliseconds): void {
    const { accepted, dropped, requests } = counts;
    this.parts.log.warn(event, {
      per_second: Math.round(this.#perSecond ?? 0),
      accepted,
      dropped,
      requests,
      backlog_ms: waitMs === undefined ? undefined : Math.round(waitMs),
    });
  }
}
