import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';
import type { RateLimits } from './rate-limits.js';

/**
 * The rate limit that a server reports in a response: requests per second from all hosts together.
 */
export type LimitNotice =
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'none' }
  | { readonly kind: 'unreadable'; readonly text: string };

/** The last known rate limit of one incarnation of a server. */
export interface ServerLimit {
  readonly server: BackendServer;
  /**
   * Requests per second from all hosts together; the last reported value if the limit is lifted.
   */
  readonly perSecond: number;
  /** Whether the server has stopped reporting the limit. */
  readonly isLifted: boolean;
  /**
   * When the server last reported the limit, or first omitted it, on this process's monotonic
   * clock.
   */
  readonly reportedAtMs: Milliseconds;
  /** When this process learned of the current value. */
  readonly changedAtMs: Milliseconds;
}

/** A limit as another host reports it. */
export type PeerLimit = Omit<ServerLimit, 'changedAtMs'>;

/** The effect of a notice; undefined if it changed nothing. */
export type LimitChange = 'named' | 'changed' | 'over' | undefined;

/**
 * Limits below this value, including 0, count as this value: without an occasional request no host
 * would learn that the limit is lifted.
 */
const MIN_PER_SECOND = 0.05;
/**
 * After a limit is lifted, the allowed rate starts at the last limit, but at least at this value,
 * and doubles every `RAMP_UP_DOUBLING_MS`; after `RAMP_UP_MS` it is unlimited.
 */
const RAMP_UP_START_PER_SECOND = 1;
const RAMP_UP_DOUBLING_MS: Milliseconds = 300;
const RAMP_UP_MS: Milliseconds = 3000;
/** How long a lifted limit is kept, to inform hosts that may have missed the notice. */
const LIFTED_RETENTION_MS: Milliseconds = 30_000;
/**
 * A limit that no response has renewed for this long belongs to a server that is gone or unused.
 */
const REPORTED_RETENTION_MS: Milliseconds = 600_000;

/**
 * Rate limits that servers report for all hosts together. A limit binds every host, whichever host
 * received it, because one host sees only a part of the requests that a server gets. Of two notices
 * of one incarnation the newer one applies.
 */
export class ServerLimits implements RateLimits {
  readonly #limits = new Map<string, ServerLimit>();

  /** Number of servers with a limit that is in effect or was lifted recently. */
  get size(): number {
    return this.#limits.size;
  }

  /**
   * Applies the notice of a response that arrived at `reportedAtMs`. A response without a limit
   * lifts the limit only if its request was sent (`askedAtMs`) after the last notice with one:
   * responses may arrive out of order.
   */
  applyNotice(
    server: BackendServer,
    word: LimitNotice,
    askedAtMs: Milliseconds,
    reportedAtMs: Milliseconds,
  ): LimitChange {
    const known = this.find(server);
    if (word.kind === 'named')
      return this.#record(server, word.perSecond, reportedAtMs, reportedAtMs);
    if (word.kind === 'unreadable' || !known || known.isLifted) return undefined;
    return askedAtMs > known.reportedAtMs
      ? this.#lift(known, reportedAtMs, reportedAtMs)
      : undefined;
  }

  /** Merges a limit that another host reports. */
  mergePeerLimit(told: PeerLimit, nowMs: Milliseconds): LimitChange {
    const { server, perSecond, isLifted, reportedAtMs } = told;
    const known = this.find(server);
    if (!isLifted) return this.#record(server, perSecond, reportedAtMs, nowMs);
    if (!known || known.isLifted || known.reportedAtMs >= reportedAtMs) return undefined;
    return this.#lift(known, reportedAtMs, nowMs);
  }

  /** Returns the last limit of this incarnation of a server; undefined if it has reported none. */
  find(server: BackendServer): ServerLimit | undefined {
    const known = this.#limits.get(server.id);
    return known && isSameIncarnation(known.server, server) ? known : undefined;
  }

  /** Returns the last limit reported under a server id, whichever incarnation reported it. */
  findById(serverId: string): ServerLimit | undefined {
    return this.#limits.get(serverId);
  }

  /**
   * Returns the requests per second that all hosts together may send to a server; undefined if
   * there is no limit.
   */
  rateOf(server: BackendServer, nowMs: Milliseconds): number | undefined {
    const known = this.find(server);
    if (!known) return undefined;
    if (!known.isLifted) return Math.max(MIN_PER_SECOND, known.perSecond);
    const sinceMs = nowMs - known.reportedAtMs;
    if (sinceMs >= RAMP_UP_MS) return undefined;
    return (
      Math.max(RAMP_UP_START_PER_SECOND, known.perSecond) * 2 ** (sinceMs / RAMP_UP_DOUBLING_MS)
    );
  }

  /** Whether a server's request rate is limited now, which includes the ramp-up after a limit. */
  isLimited(server: BackendServer, nowMs: Milliseconds): boolean {
    return this.rateOf(server, nowMs) !== undefined;
  }

  mayBeLimited(server: BackendServer): boolean {
    return this.find(server) !== undefined;
  }

  /** False: a server that reports a limit is not cold for that reason. */
  isCold(): boolean {
    return false;
  }

  /**
   * Returns all limits, including lifted ones, after dropping those beyond their retention time.
   */
  all(nowMs: Milliseconds): readonly ServerLimit[] {
    for (const [id, { isLifted, reportedAtMs }] of this.#limits) {
      const retentionMs = isLifted ? LIFTED_RETENTION_MS : REPORTED_RETENTION_MS;
      if (nowMs - reportedAtMs > retentionMs) this.#limits.delete(id);
    }
    return [...this.#limits.values()];
  }

  /** Removes a server that has restarted or is gone. */
  forget(serverId: string): void {
    this.#limits.delete(serverId);
  }

  #record(
    server: BackendServer,
    perSecond: number,
    reportedAtMs: Milliseconds,
    nowMs: Milliseconds,
  ): LimitChange {
    const known = this.find(server);
    if (known && known.reportedAtMs > reportedAtMs) return undefined;
    const isSame = known !== undefined && !known.isLifted && known.perSecond === perSecond;
    const changedAtMs = isSame ? known.changedAtMs : nowMs;
    this.#limits.set(server.id, {
      server,
      perSecond,
      isLifted: false,
      reportedAtMs,
      changedAtMs,
    });
    if (isSame) return undefined;
    return known && !known.isLifted ? 'changed' : 'named';
  }

  #lift(known: ServerLimit, reportedAtMs: Milliseconds, nowMs: Milliseconds): LimitChange {
    this.#limits.set(known.server.id, {
      ...known,
      isLifted: true,
      reportedAtMs,
      changedAtMs: nowMs,
    });
    return 'over';
  }
}
