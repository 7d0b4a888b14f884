import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';
import { lowerMedian, SpeedReports } from './speed-reports.js';
import type { SpeedReport } from './speed-reports.js';
import { MAX_SPEED_AGE_MS, SpeedSamples } from './speed-samples.js';

/** One observation of a server by this host. */
export interface SpeedObservation {
  readonly server: BackendServer;
  /** Observed time divided by the time that is usual; 1 for a server as fast as expected. */
  readonly ratio: number;
}

/** A server that is slow now. */
export interface SlowServer {
  readonly serverId: string;
  /** Undefined if it is not known. */
  readonly startedAtMs: Milliseconds | undefined;
  readonly slowdown: number;
  /** Time of the newest observation. */
  readonly observedAtMs: Milliseconds;
  /** When a request was last placed on it, or when it became slow. */
  readonly usedAtMs: Milliseconds;
  /** Whether it is known only from reports that coordinators relay. */
  readonly isRelayed: boolean;
}

/** How a server's slowdown changed: it became slow, or is as fast as others again. */
export type SpeedChange = 'slow' | 'even' | undefined;

/** Smaller slowdowns count as 1: plans for servers of even speed stay as they are. */
export const MIN_SLOWDOWN = 1.5;
/** A server that is slower is hardly used any more, whatever the exact figure. */
export const MAX_SLOWDOWN = 16;
/** More servers than any deployment has; beyond it the one that was observed first is dropped. */
const MAX_SERVERS = 2048;
/**
 * The usual ratio of a service is computed again after this time. With 720 servers that takes
 * 0.1 ms.
 */
const USUAL_PERIOD_MS: Milliseconds = 250;
/** A single observed server is compared with the figures of its service alone. */
const MIN_COMPARED_SERVERS = 2;
/**
 * A slow server that got no request for this long gets one, so that its recovery is noticed. The
 * request may be late.
 */
const PROBE_PERIOD_MS: Milliseconds = 2000;

interface OwnRecord {
  readonly server: BackendServer;
  readonly samples: SpeedSamples;
}

interface UsualRatio {
  readonly ratio: number;
  readonly atMs: Milliseconds;
}

function clampSlowdown(ratio: number): number {
  return ratio < MIN_SLOWDOWN ? 1 : Math.min(MAX_SLOWDOWN, ratio);
}

/**
 * By how much slower each server is than its service's figures state: what this host observes, and
 * what others report. Ratios are relative to the median of the servers of the service that this host
 * observes, so that wrong figures and a slow host make no server slow. Does nothing if it is not
 * enabled.
 */
export class ServerSpeeds {
  readonly #own = new Map<string, OwnRecord>();
  readonly #reports = new Map<string, SpeedReports>();
  readonly #slow = new Map<string, SlowServer>();
  /** When each server was last considered slow: its observations are reported for a while longer. */
  readonly #lastSlowAtMs = new Map<string, Milliseconds>();
  readonly #usual = new Map<string, UsualRatio>();

  constructor(readonly isEnabled: boolean) {}

  /** Number of servers that are slow or were until recently. */
  get size(): number {
    return this.#lastSlowAtMs.size;
  }

  /** Records an observation of this host. */
  observe({ server, ratio }: SpeedObservation, nowMs: Milliseconds): SpeedChange {
    if (!this.isEnabled || !Number.isFinite(ratio)) return undefined;
    this.#recordOf(server).samples.add(ratio, nowMs);
    return this.#update(server.id, server.startedAtMs, nowMs);
  }

  /** Merges a report of another host about `server`, the listed incarnation. */
  mergePeerReport(
    server: BackendServer,
    report: SpeedReport,
    host: string,
    nowMs: Milliseconds,
  ): SpeedChange {
    const { startedAtMs } = report;
    if (!this.isEnabled || startedAtMs !== server.startedAtMs) return undefined;
    const reports = this.#reports.get(server.id) ?? new SpeedReports();
    reports.add(host, { ...report, slowdown: clampSlowdown(report.slowdown) });
    this.#reports.set(server.id, reports);
    const [oldest] = this.#reports.keys();
    if (this.#reports.size > MAX_SERVERS && oldest !== undefined) this.#reports.delete(oldest);
    return this.#update(server.id, startedAtMs, nowMs);
  }

  /** By how much slower a server is: 1, or from `MIN_SLOWDOWN` to `MAX_SLOWDOWN`. */
  slowdownOf({ id, startedAtMs }: BackendServer, nowMs: Milliseconds): number {
    if (this.#slow.size === 0) return 1;
    const known = this.#slow.get(id);
    if (!known || known.startedAtMs !== startedAtMs) return 1;
    return nowMs - known.observedAtMs <= MAX_SPEED_AGE_MS ? known.slowdown : 1;
  }

  /** Records that a request was placed on a server. */
  onUsed(serverId: string, nowMs: Milliseconds): void {
    const known = this.#slow.get(serverId);
    if (known) this.#slow.set(serverId, { ...known, usedAtMs: nowMs });
  }

  /**
   * Whether a server is slow and has to get a request, so that its recovery is noticed. `planners`:
   * the number of hosts that send such requests independently of each other.
   */
  isProbeDue(server: BackendServer, nowMs: Milliseconds, planners = 1): boolean {
    const known = this.#slow.get(server.id);
    if (!known || this.slowdownOf(server, nowMs) === 1) return false;
    return nowMs - known.usedAtMs >= PROBE_PERIOD_MS * planners;
  }

  /** All servers that are slow now. */
  slowServers(nowMs: Milliseconds): readonly SlowServer[] {
    return [...this.#slow.values()].filter(
      ({ observedAtMs }) => nowMs - observedAtMs <= MAX_SPEED_AGE_MS,
    );
  }

  /**
   * This host's own observations of servers that it or others consider slow, also if they are fast
   * now; none while all servers are even.
   */
  ownReports(nowMs: Milliseconds): readonly SpeedReport[] {
    return [...this.#lastSlowAtMs.keys()].flatMap((id) => this.#ownReport(id, nowMs) ?? []);
  }

  /**
   * Returns the servers that have become even since the last call for want of observations, and
   * forgets old reports.
   */
  takeExpired(nowMs: Milliseconds): readonly SlowServer[] {
    const expired = [...this.#slow.values()].filter(
      ({ observedAtMs }) => nowMs - observedAtMs > MAX_SPEED_AGE_MS,
    );
    for (const { serverId } of expired) this.#slow.delete(serverId);
    for (const [id, atMs] of this.#lastSlowAtMs) {
      if (nowMs - atMs > MAX_SPEED_AGE_MS) this.#lastSlowAtMs.delete(id);
    }
    for (const [id, reports] of this.#reports) {
      if (!reports.combine(undefined, nowMs)) this.#reports.delete(id);
    }
    return expired;
  }

  /** Removes all that is known of a server, which has started again. */
  forget(serverId: string): void {
    this.#own.delete(serverId);
    this.#reports.delete(serverId);
    this.#slow.delete(serverId);
    this.#lastSlowAtMs.delete(serverId);
  }

  #recordOf(server: BackendServer): OwnRecord {
    const known = this.#own.get(server.id);
    if (known && isSameIncarnation(known.server, server)) return known;
    if (known) this.forget(server.id);
    const created = { server, samples: new SpeedSamples() };
    this.#own.set(server.id, created);
    const [oldest] = this.#own.keys();
    if (this.#own.size > MAX_SERVERS && oldest !== undefined) this.#own.delete(oldest);
    return created;
  }

  #ownReport(serverId: string, nowMs: Milliseconds): SpeedReport | undefined {
    const own = this.#own.get(serverId);
    const ratio = own?.samples.ratioAt(nowMs);
    if (!own || ratio === undefined) return undefined;
    return {
      serverId,
      startedAtMs: own.server.startedAtMs,
      slowdown: clampSlowdown(ratio / this.#usualRatio(own.server.service, nowMs)),
      observedAtMs: own.samples.atMs,
      isRelayed: false,
    };
  }

  /** The median ratio of a service's servers, at least 1. */
  #usualRatio(service: string, nowMs: Milliseconds): number {
    const known = this.#usual.get(service);
    if (known && nowMs - known.atMs < USUAL_PERIOD_MS) return known.ratio;
    const ratios = [...this.#own.values()]
      .filter(({ server }) => server.service === service)
      .flatMap(({ samples }) => samples.ratioAt(nowMs) ?? []);
    const median = ratios.length >= MIN_COMPARED_SERVERS ? lowerMedian(ratios) : undefined;
    const ratio = Math.max(1, median ?? 1);
    this.#usual.set(service, { ratio, atMs: nowMs });
    return ratio;
  }

  #update(
    serverId: string,
    startedAtMs: Milliseconds | undefined,
    nowMs: Milliseconds,
  ): SpeedChange {
    const own = this.#ownReport(serverId, nowMs);
    const combined = this.#reports.get(serverId)?.combine(own, nowMs) ?? own;
    const known = this.#slow.get(serverId);
    if (!combined || combined.slowdown === 1)
      return this.#slow.delete(serverId) ? 'even' : undefined;
    const { slowdown, observedAtMs, isRelayed } = combined;
    const usedAtMs = known?.usedAtMs ?? nowMs;
    this.#lastSlowAtMs.set(serverId, nowMs);
    const times = { observedAtMs, usedAtMs };
    this.#slow.set(serverId, { serverId, startedAtMs, slowdown, ...times, isRelayed });
    return known ? undefined : 'slow';
  }
}
