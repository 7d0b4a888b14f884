import type { Clock, Milliseconds } from '@poppypond/core';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Why a connection was closed. */
export type CloseReason =
  'limit' | 'cost' | 'memory' | 'small_chunks' | 'head_timeout' | 'idle_timeout' | 'unread_timeout';

/** Dependencies of `ClosedConnections`. */
export interface ClosedConnectionsParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
}

const LOG_PERIOD_MS: Milliseconds = 1000;

/** Counts the connections that were closed, and logs their number by reason once a second at most. */
export class ClosedConnections {
  readonly #counts = new Map<CloseReason, number>();
  #loggedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(readonly parts: ClosedConnectionsParts) {}

  count(reason: CloseReason): void {
    this.#counts.set(reason, (this.#counts.get(reason) ?? 0) + 1);
    this.parts.metrics.count('poppypond_caller_connections_closed_total', { why: reason });
  }

  /** Logs what was counted since the last line, with the figures of the open connections. */
  report(figures: Readonly<Record<string, number>>): void {
    const { clock, log } = this.parts;
    const nowMs = clock.monotonicMs();
    if (this.#counts.size === 0 || nowMs - this.#loggedAtMs < LOG_PERIOD_MS) return;
    log.warn('callers_closed', { ...Object.fromEntries(this.#counts), ...figures });
    this.#counts.clear();
    this.#loggedAtMs = nowMs;
  }
}
