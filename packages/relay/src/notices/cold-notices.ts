import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, ColdChange, ColdServer, ColdServers } from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { ServerEntry } from '../ports.js';
import type { ServerList } from '../store/server-list.js';

/** Dependencies of `ColdNotices`. */
export interface ColdNoticesParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Name of this host. */
  readonly host: string;
  readonly servers: ServerList;
  readonly cold: ColdServers;
  /** Age from which the server list may lack servers that have started again. */
  readonly listStaleAfterMs: Milliseconds;
}

/** Interval at which servers that have become warm are logged and later forgotten. */
const WARM_CHECK_PERIOD_MS: Milliseconds = 500;
/**
 * Maximum number of lines within `LOG_PERIOD_MS`: a zone of 240 servers may come back at once, and
 * all hosts log it.
 */
const MAX_LINES_PER_PERIOD = 40;
const LOG_PERIOD_MS: Milliseconds = 10_000;

/** Records what this host learns about cold servers, logs it, and passes on what others can't know. */
export class ColdNotices {
  #onCold: (serverId: string) => void = () => undefined;
  #alivePeerCount: () => number = () => 0;
  #cancelWarmCheck: CancelTimer | undefined;
  #logPeriodFromMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #linesThisPeriod = 0;
  #omittedLines = 0;

  constructor(readonly parts: ColdNoticesParts) {}

  /**
   * Sets the callback for each server of which this host learns first that it is cold. It is not
   * called for what all hosts learn by themselves, from the list and from evacuations.
   */
  onCold(callback: (serverId: string) => void): void {
    this.#onCold = callback;
  }

  /** Sets the source of the number of peers that this host hears. */
  setAlivePeerCount(alivePeerCount: () => number): void {
    this.#alivePeerCount = alivePeerCount;
  }

  /** Records the entries of a list that was read from the store at `readAtMs`. */
  recordEntries(entries: readonly ServerEntry[], readAtMs: Milliseconds): void {
    const { cold, host } = this.parts;
    for (const { server, coldRemainingMs } of entries) {
      if (coldRemainingMs === 0) continue;
      const change = cold.onEntry(server, coldRemainingMs, readAtMs);
      if (this.#logChange(server, change, host)) this.#onCold(server.id);
    }
  }

  /** Records a response of a server and the remaining time that it states, if any. */
  recordResponse(server: BackendServer, remainingMs: Milliseconds | undefined): void {
    const { clock, cold, host } = this.parts;
    if (remainingMs === undefined && cold.failedCount === 0) return;
    const nowMs = clock.monotonicMs();
    const change =
      remainingMs === undefined
        ? cold.onAnswered(server, nowMs)
        : cold.onResponse(server, remainingMs, nowMs);
    if (this.#logChange(server, change, host) && remainingMs !== undefined) this.#onCold(server.id);
  }

  /**
   * Records that a server did not answer a request. Matters only while this host is isolated, with a
   * list that is out of date and without peers; otherwise starts of servers show in the list, or the
   * planner, which would not know of the failure, would grant no permit.
   */
  recordFailure(server: BackendServer): void {
    const { cold } = this.parts;
    cold.onFailed(server);
    if (cold.failedCount === 0) return;
    this.#updateFailures();
    this.#startWarmCheck();
  }

  #updateFailures(): void {
    const { cold, listStaleAfterMs, servers } = this.parts;
    const isIsolated = this.#alivePeerCount() === 0 && servers.freshness.ageMs() > listStaleAfterMs;
    cold.updateFailures(isIsolated, (server) => servers.stateOf(server) !== 'unlisted');
  }

  /**
   * Records the first appearance of an incarnation in a list that was known before. `isOwnReport`:
   * whether only this host knows of the incarnation, from the server's answer.
   */
  recordListed(server: BackendServer, isOwnReport: boolean): void {
    const { clock, cold, host } = this.parts;
    const change = cold.onListed(server, clock.monotonicMs());
    if (this.#logChange(server, change, host) && isOwnReport) this.#onCold(server.id);
  }

  /**
   * Records that the evacuation of a zone was withdrawn at `reopenedAtMs`, or now if it is
   * undefined: all of its servers count as cold for some time from then on.
   */
  recordReopenedZone(zone: string, reopenedAtMs?: Milliseconds): void {
    const { clock, cold, host, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    for (const server of servers.listed.servers) {
      if (server.availabilityZone !== zone) continue;
      this.#logChange(server, cold.onReopened(server, nowMs, reopenedAtMs), host);
    }
  }

  /** Merges what `reportedBy` reports; returns false if it changes nothing. */
  recordPeerReport(told: Omit<ColdServer, 'changedAtMs'>, reportedBy: string): boolean {
    const { clock, cold } = this.parts;
    const change = cold.mergePeerReport(told, clock.monotonicMs());
    return this.#logChange(told.server, change, reportedBy);
  }

  #logChange(server: BackendServer, change: ColdChange, reportedBy: string): boolean {
    if (change === undefined) return false;
    const { clock, cold, metrics, servers } = this.parts;
    const now = cold.findById(server.id);
    metrics.count('poppypond_server_words_total', { word: 'cold' });
    this.#startWarmCheck();
    this.#logLine('server_cold', {
      server: server.id,
      service: server.service,
      change,
      source: now?.source,
      left_ms: now && Math.round(now.untilMs - clock.monotonicMs()),
      born_ms: server.startedAtMs,
      told_by: reportedBy,
      list_age_ms: Math.round(servers.freshness.ageMs()),
    });
    return true;
  }

  #startWarmCheck(): void {
    this.#cancelWarmCheck ??= this.parts.clock.every(WARM_CHECK_PERIOD_MS, () => {
      this.#checkWarm();
    });
  }

  #checkWarm(): void {
    const { clock, cold } = this.parts;
    const nowMs = clock.monotonicMs();
    this.#updateFailures();
    for (const { server, source, untilMs } of cold.takeWarm(nowMs)) {
      this.#logLine('server_warm', {
        server: server.id,
        service: server.service,
        source,
        since_ms: Math.round(nowMs - untilMs),
      });
    }
    if (cold.size + cold.failedCount > 0) return;
    this.#cancelWarmCheck?.();
    this.#cancelWarmCheck = undefined;
  }

  #logLine(event: string, fields: Parameters<Log['warn']>[1]): void {
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
    this.parts.log.warn(event, { ...fields, lines_omitted: omitted });
  }
}
