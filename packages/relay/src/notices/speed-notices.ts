import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type {
  BackendServer,
  ServerSpeeds,
  SpeedChange,
  SpeedReport,
  UsualDurations,
} from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { ServerList } from '../store/server-list.js';

/**
 * What a speed was observed by: the time to the `first_event` of a stream or between its `events`,
 * the `pace` that an engine reports, or the duration of a `call` to a plain service.
 */
export type SpeedSource = 'first_event' | 'events' | 'pace' | 'call';

/** Dependencies of `SpeedNotices`. */
export interface SpeedNoticesParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Name of this host. */
  readonly host: string;
  readonly servers: ServerList;
  readonly speeds: ServerSpeeds;
  readonly durations: UsualDurations;
}

/** Interval at which speeds without new observations are forgotten. */
const EXPIRY_PERIOD_MS: Milliseconds = 500;
/**
 * Maximum number of lines within `LOG_PERIOD_MS`: a sixth of 720 engines may become slow at once,
 * and all hosts log it.
 */
const MAX_LINES_PER_PERIOD = 40;
const LOG_PERIOD_MS: Milliseconds = 10_000;

/** Records what this host learns about the speed of servers, and logs servers that become slow. */
export class SpeedNotices {
  #cancelExpiry: CancelTimer | undefined;
  #logPeriodFromMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #linesThisPeriod = 0;
  #omittedLines = 0;

  constructor(readonly parts: SpeedNoticesParts) {}

  /** Whether speeds are observed at all. */
  get isEnabled(): boolean {
    return this.parts.speeds.isEnabled;
  }

  /** Records the time that a server took, divided by the time that is usual. */
  record(server: BackendServer, ratio: number, source: SpeedSource): void {
    const { clock, host, speeds } = this.parts;
    const change = speeds.observe({ server, ratio }, clock.monotonicMs());
    this.#onChange(server, change, source, host);
  }

  /** Records the duration of a call on a route of a plain service. */
  recordCall(server: BackendServer, route: string, durationMs: Milliseconds): void {
    if (!this.isEnabled) return;
    const ratio = this.parts.durations.record(`${server.service}/${route}`, durationMs);
    if (ratio !== undefined) this.record(server, ratio, 'call');
  }

  /** Applies what another host reports about a listed server. */
  recordPeerReport(report: SpeedReport, reportedBy: string): void {
    const { clock, servers, speeds } = this.parts;
    if (!this.isEnabled) return;
    const server = servers.find(report.serverId);
    if (!server) return;
    const change = speeds.mergePeerReport(server, report, reportedBy, clock.monotonicMs());
    this.#onChange(server, change, 'report', reportedBy);
  }

  #onChange(
    server: BackendServer,
    change: SpeedChange,
    source: SpeedSource | 'report',
    reportedBy: string,
  ): void {
    if (change === undefined) return;
    const { clock, metrics, speeds } = this.parts;
    metrics.count('poppypond_server_speed_changes_total', { change, source });
    this.#cancelExpiry ??= clock.every(EXPIRY_PERIOD_MS, () => {
      this.#expire();
    });
    const slowdown = speeds.slowdownOf(server, clock.monotonicMs());
    this.#logLine(change === 'slow' ? 'server_slow' : 'server_even', {
      server: server.id,
      service: server.service,
      slowdown: change === 'slow' ? Number(slowdown.toFixed(2)) : undefined,
      source,
      told_by: reportedBy,
    });
  }

  #expire(): void {
    const { clock, metrics, speeds } = this.parts;
    const nowMs = clock.monotonicMs();
    for (const { serverId, observedAtMs } of speeds.takeExpired(nowMs)) {
      metrics.count('poppypond_server_speed_changes_total', { change: 'even', source: 'age' });
      const sinceMs = Math.round(nowMs - observedAtMs);
      this.#logLine('server_even', { server: serverId, source: 'age', since_ms: sinceMs });
    }
    if (speeds.size > 0) return;
    this.#cancelExpiry?.();
    this.#cancelExpiry = undefined;
  }

  #logLine(event: string, fields: Parameters<Log['info']>[1]): void {
    const nowMs = this.parts.clock.monotonicMs();
    if (nowMs - this.#logPeriodFromMs >= LOG_PERIOD_MS) {
      this.#logPeriodFromMs = nowMs;
      this.#linesThisPeriod = 0;
    }
    this.#linesThisPeriod += 1;
    if (this.#linesThisPeriod > MAX_LINES_PER_PERIOD) {
      this.#omittedLines += 1;
      return;
    }
    const omitted = this.#omittedLines > 0 ? this.#omittedLines : undefined;
    this.#omittedLines = 0;
    this.parts.log.info(event, { ...fields, lines_omitted: omitted });
  }
}
