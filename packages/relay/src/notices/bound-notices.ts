import type { Clock, Milliseconds } from '@poppypond/core';
import type { RequestBounds } from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Dependencies of `BoundNotices`. */
export interface BoundNoticesParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly bounds: RequestBounds;
}

interface BoundPeriod {
  readonly sinceMs: Milliseconds;
  /** Largest number of servers at their bound at a time. */
  most: number;
  lastMs: Milliseconds;
}

/** A service whose servers were below their bound for this long is logged as such. */
const BELOW_AFTER_MS: Milliseconds = 10_000;

/**
 * Shows for which services servers get no more because they may turn cold. One line is logged when
 * it begins and one when it is over.
 */
export class BoundNotices {
  readonly #periods = new Map<string, BoundPeriod>();

  constructor(readonly parts: BoundNoticesParts) {}

  /** Sets the gauge and logs changes; called every second. */
  check(): void {
    const { bounds, clock, log, metrics } = this.parts;
    const nowMs = clock.monotonicMs();
    const counts = new Map(Object.entries(bounds.atBound(nowMs)));
    metrics.replaceSeries('poppypond_servers_at_bound', counts);
    for (const [service, servers] of counts) {
      const known = this.#periods.get(service);
      if (known) {
        known.most = Math.max(known.most, servers);
        known.lastMs = nowMs;
        continue;
      }
      this.#periods.set(service, { sinceMs: nowMs, most: servers, lastMs: nowMs });
      log.warn('servers_at_bound', { service, servers });
    }
    for (const [service, { sinceMs, most, lastMs }] of this.#periods) {
      if (nowMs - lastMs < BELOW_AFTER_MS) continue;
      this.#periods.delete(service);
      log.warn('servers_below_bound', { service, most, for_ms: Math.round(lastMs - sinceMs) });
    }
  }
}
