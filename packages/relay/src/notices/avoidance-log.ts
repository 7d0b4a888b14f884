import type { Clock, Milliseconds } from '@poppypond/core';
import type { ServerAvoidance } from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Dependencies of `logAvoidance`. */
export interface AvoidanceLogParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
}

/** Maximum number of lines within `LOG_PERIOD_MS`: many servers may fail at once. */
const MAX_LINES_PER_PERIOD = 40;
const LOG_PERIOD_MS: Milliseconds = 10_000;

/** Logs and counts servers that become avoided for their failure rate, and the end of probations. */
export function logAvoidance(parts: AvoidanceLogParts, avoidance: ServerAvoidance): void {
  const { clock, log, metrics } = parts;
  let periodFromMs = Number.NEGATIVE_INFINITY;
  let lines = 0;
  const mayLog = () => {
    const nowMs = clock.monotonicMs();
    if (nowMs - periodFromMs >= LOG_PERIOD_MS) {
      periodFromMs = nowMs;
      lines = 0;
    }
    lines += 1;
    return lines <= MAX_LINES_PER_PERIOD;
  };
  avoidance.onFailing(({ serverId, service, forMs, failures, outcomes }) => {
    metrics.count('poppypond_failing_servers_total', { service });
    if (!mayLog()) return;
    const counts = { failures, outcomes, for_ms: Math.round(forMs) };
    log.warn('server_failing', { server: serverId, service, ...counts });
  });
  avoidance.onRecovered((serverId) => {
    if (mayLog()) log.info('server_recovered', { server: serverId });
  });
}
