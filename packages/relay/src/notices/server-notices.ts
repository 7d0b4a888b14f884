import type { Clock, Milliseconds } from '@poppypond/core';
import { BACKOFF_CHANGE_MS } from '@poppypond/fleet';
import type {
  BackendServer,
  LimitChange,
  LimitNotice,
  ServerBackoffs,
  ServerLimit,
  ServerLimits,
  PeerLimit,
} from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { ServerNotice } from '../ports.js';
import type { ServerList } from '../store/server-list.js';
import type { ColdNotices } from './cold-notices.js';

/** Dependencies of `ServerNotices`. */
export interface ServerNoticesParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Name of this host. */
  readonly host: string;
  readonly servers: ServerList;
  readonly rests: ServerBackoffs;
  readonly limits: ServerLimits;
  /** Records how long servers are cold; ignored if undefined. */
  readonly coldNotices?: ColdNotices;
}

/**
 * Maximum number of servers whose unreadable limit notices are remembered; each such notice is
 * logged once.
 */
const MAX_UNREADABLE = 256;
const LOGGED_TEXT_LENGTH = 40;

/**
 * Processes the notices that servers report about themselves in responses of all kinds. A leaving
 * notice binds all hosts for the rest of the server's incarnation; a backoff binds only this host
 * until it ends; a rate limit binds all hosts together for as long as responses report it. Logs
 * each notice once, and each change of a limit.
 */
export class ServerNotices {
  #onLeaving: (server: BackendServer, announcedAtMs: Milliseconds) => void = () => undefined;
  #onLimit: (limit: ServerLimit) => void = () => undefined;
  /** The last limit notice of each server that could not be parsed, by server id. */
  readonly #unreadable = new Map<string, string>();

  constructor(readonly parts: ServerNoticesParts) {}

  /**
   * Sets the callback for each incarnation whose leaving notice this host receives first;
   * `announcedAtMs`: when it was received.
   */
  onLeaving(callback: (server: BackendServer, announcedAtMs: Milliseconds) => void): void {
    this.#onLeaving = callback;
  }

  /**
   * Sets the callback for each change of a limit that this host learns from a server's response.
   */
  onLimit(callback: (limit: ServerLimit) => void): void {
    this.#onLimit = callback;
  }

  /**
   * Records the notice in a response of `server`, the incarnation that the request was sent to at
   * `askedAtMs`.
   */
  recordNotice(
    server: BackendServer,
    { isLeaving, backoffMs, limit, coldRemainingMs }: ServerNotice,
    askedAtMs: Milliseconds = this.parts.clock.monotonicMs(),
  ): void {
    if (isLeaving) this.#recordOwnLeaving(server);
    if (backoffMs !== undefined) this.#recordBackoff(server, backoffMs);
    if (limit) this.#recordLimit(server, limit, askedAtMs);
    this.parts.coldNotices?.recordResponse(server, coldRemainingMs);
  }

  /** Records that a server did not answer a request, or not completely. */
  recordFailure(server: BackendServer): void {
    this.parts.coldNotices?.recordFailure(server);
  }

  /**
   * Records a rate limit that a peer has received from a server; returns false if it changes
   * nothing.
   */
  recordPeerLimit(told: PeerLimit, reportedBy: string): boolean {
    const { clock, limits } = this.parts;
    const before = limits.find(told.server);
    const change = limits.mergePeerLimit(told, clock.monotonicMs());
    return this.#logLimitChange(told.server, change, before, reportedBy);
  }

  /**
   * Records that a server told host `reportedBy` at `announcedAtMs`, on this process's clock, that
   * it is leaving; returns false if that was known.
   */
  recordLeaving(server: BackendServer, announcedAtMs: Milliseconds, reportedBy: string): boolean {
    const { log, metrics, servers } = this.parts;
    const listed = servers.stateOf(server);
    if (!servers.onLeaving(server, announcedAtMs)) return false;
    metrics.count('poppypond_server_words_total', { word: 'leaving' });
    log.warn('server_leaving', {
      server: server.id,
      service: server.service,
      born_ms: server.startedAtMs,
      told_by: reportedBy,
      listed,
      list_age_ms: Math.round(servers.freshness.ageMs()),
    });
    return true;
  }

  #recordOwnLeaving(server: BackendServer): void {
    const nowMs = this.parts.clock.monotonicMs();
    if (this.recordLeaving(server, nowMs, this.parts.host)) this.#onLeaving(server, nowMs);
  }

  #recordLimit(server: BackendServer, word: LimitNotice, askedAtMs: Milliseconds): void {
    const { clock, host, limits } = this.parts;
    if (word.kind === 'unreadable') {
      this.#logUnreadable(server, word.text);
      return;
    }
    const before = limits.find(server);
    const change = limits.applyNotice(server, word, askedAtMs, clock.monotonicMs());
    if (!this.#logLimitChange(server, change, before, host)) return;
    const now = limits.find(server);
    if (now) this.#onLimit(now);
  }

  #logLimitChange(
    server: BackendServer,
    change: LimitChange,
    before: ServerLimit | undefined,
    reportedBy: string,
  ): boolean {
    if (change === undefined) return false;
    const { limits, log, metrics, servers } = this.parts;
    metrics.count('poppypond_server_words_total', { word: `limit_${change}` });
    log.warn('server_limit', {
      server: server.id,
      service: server.service,
      change,
      per_second: limits.find(server)?.perSecond,
      before_per_second: before && !before.isLifted ? before.perSecond : undefined,
      born_ms: server.startedAtMs,
      told_by: reportedBy,
      list_age_ms: Math.round(servers.freshness.ageMs()),
    });
    return true;
  }

  #logUnreadable(server: BackendServer, text: string): void {
    if (this.#unreadable.get(server.id) === text) return;
    if (this.#unreadable.size >= MAX_UNREADABLE) this.#unreadable.clear();
    this.#unreadable.set(server.id, text);
    const shown = text.slice(0, LOGGED_TEXT_LENGTH);
    this.parts.log.warn('server_limit_unreadable', { server: server.id, text: shown });
  }

  #recordBackoff(server: BackendServer, backoffMs: Milliseconds): void {
    const { clock, log, metrics, rests } = this.parts;
    const nowMs = clock.monotonicMs();
    const { untilMs, isNew } = rests.begin(server, backoffMs, nowMs);
    if (!isNew) return;
    const forMs = untilMs - nowMs;
    metrics.count('poppypond_server_words_total', { word: 'rest' });
    log.warn('server_rests', {
      server: server.id,
      service: server.service,
      asked_ms: Math.round(backoffMs),
      for_ms: Math.round(forMs),
      resting: rests.size,
    });
    this.#logBackoffEnd(server, nowMs, forMs);
  }

  /**
   * Logs the end of a backoff; waits again if the backoff was extended by less than is logged as a
   * new one.
   */
  #logBackoffEnd(server: BackendServer, sinceMs: Milliseconds, waitMs: Milliseconds): void {
    const { clock, log, rests } = this.parts;
    clock.after(waitMs, () => {
      const nowMs = clock.monotonicMs();
      const leftMs = rests.leftMs(server, nowMs);
      const afterMs = Math.round(nowMs - sinceMs);
      if (leftMs === 0) log.info('server_rest_over', { server: server.id, after_ms: afterMs });
      else if (leftMs <= BACKOFF_CHANGE_MS) this.#logBackoffEnd(server, sinceMs, leftMs);
    });
  }
}
