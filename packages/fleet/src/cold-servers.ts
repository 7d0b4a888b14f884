import type { Milliseconds } from '@poppypond/core';
import type { ColdStart } from '@poppypond/routing';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

/**
 * How a host learned that a server is cold: from the remaining time in its `entry` or in a
 * `response`, from its first appearance in the list (`listed`), because the evacuation of its zone
 * was withdrawn (`reopened`), or because it answered again after a failure while the host was
 * isolated, so that it may have started again unnoticed (`reconnected`).
 */
export type ColdSource = (typeof COLD_SOURCES)[number];

export const COLD_SOURCES = ['entry', 'response', 'listed', 'reopened', 'reconnected'] as const;

/** A cold incarnation of a server, or one that was cold a moment ago. */
export interface ColdServer {
  readonly server: BackendServer;
  /** When it is warm, on this process's monotonic clock. */
  readonly untilMs: Milliseconds;
  /** The source of that time. */
  readonly source: ColdSource;
  /** When it became cold here, or its end last moved by more than `REPORTED_CHANGE_MS`. */
  readonly changedAtMs: Milliseconds;
}

/** What a report changed: a server became cold, or stays cold for longer; undefined if nothing. */
export type ColdChange = 'cold' | 'longer' | undefined;

interface ColdRecord extends ColdServer {
  /** From when on hosts that can know it treat the server as cold. */
  readonly settledAtMs: Milliseconds;
  /** The end at the last change that was returned. */
  readonly reportedUntilMs: Milliseconds;
  /** Whether `takeWarm` has returned the server. */
  readonly isTaken: boolean;
}

/** Changes of the end by at most this much are not worth a message or a log line. */
const REPORTED_CHANGE_MS: Milliseconds = 500;
/**
 * A peer's report that is later by at most this much is the same report, delayed in transit.
 * Without this tolerance, hosts that repeat each other's reports would move the end on and on.
 */
const TRANSIT_TOLERANCE_MS: Milliseconds = 100;
/**
 * Time after which all hosts know that a server that was serving is cold, and what they sent before
 * is over a second ago. Batching and forwarding a broadcast takes up to 200 ms, a lost one is made
 * up for by the next heartbeat.
 */
const SETTLING_MS: Milliseconds = 1500;
/**
 * Sources that report servers which nobody was sending requests to, if this host learned it by
 * itself. A peer that returns after an isolation reports servers as listed that others have been
 * using all the time.
 */
const IDLE_SOURCES: ReadonlySet<ColdSource> = new Set(['listed', 'reopened']);
/** Upper bound of a reported time, as an unreadable clock may report any. */
const MAX_COLD_MS: Milliseconds = 60_000;
/**
 * A server is remembered for this long after its end: other hosts may have received reports up to a
 * heartbeat of the server and a read of the list later.
 */
const RETENTION_MS: Milliseconds = 3000;
/** More servers than any deployment has; beyond it the one that is warm first is dropped. */
const MAX_SERVERS = 2048;

/** Whether a report about `told` also applies to `server`, which may be an older view of it. */
function appliesTo(told: BackendServer, server: BackendServer): boolean {
  if (isSameIncarnation(told, server)) return true;
  return isNewer(told, server);
}

function isNewer(one: BackendServer, other: BackendServer): boolean {
  if (one.startedAtMs === undefined || other.startedAtMs === undefined) return false;
  return one.startedAtMs > other.startedAtMs;
}

function changeOf(
  known: ColdRecord | undefined,
  untilMs: Milliseconds,
  nowMs: Milliseconds,
): ColdChange {
  if (!known || known.untilMs <= nowMs) return 'cold';
  return untilMs - known.reportedUntilMs > REPORTED_CHANGE_MS ? 'longer' : undefined;
}

/**
 * The servers that have just started, or that report that they are cold again, and until when. A
 * cold server sustains only `ColdStart.requestsPerSecond` from all hosts together. No source can be
 * too early by more than its own delay, so the latest end applies: a server that is considered cold
 * for a moment too long only gets a bounded rate. Servers of services without a cold start are not
 * recorded.
 */
export class ColdServers {
  readonly #records = new Map<string, ColdRecord>();
  /** Servers that have failed and not answered since, by id. */
  readonly #failed = new Map<string, BackendServer>();
  #isIsolated = false;

  /** `coldStartOf`: the cold start of a service; undefined if it has none or it is not limited. */
  constructor(readonly coldStartOf: (service: string) => ColdStart | undefined) {}

  /** Number of servers that are cold or were until recently. */
  get size(): number {
    return this.#records.size + (this.#isIsolated ? this.#failed.size : 0);
  }

  /** Number of servers that have failed and not answered since. */
  get failedCount(): number {
    return this.#failed.size;
  }

  /** Records the remaining time in a server's entry, which was read at `readAtMs`. */
  onEntry(server: BackendServer, remainingMs: Milliseconds, readAtMs: Milliseconds): ColdChange {
    return this.#record(server, readAtMs + Math.min(MAX_COLD_MS, remainingMs), 'entry', readAtMs);
  }

  /** Records the remaining time in a response of a server that arrived at `nowMs`. */
  onResponse(server: BackendServer, remainingMs: Milliseconds, nowMs: Milliseconds): ColdChange {
    this.#failed.delete(server.id);
    return this.#record(server, nowMs + Math.min(MAX_COLD_MS, remainingMs), 'response', nowMs);
  }

  /** Records the first appearance of an incarnation in a list that was known before. */
  onListed(server: BackendServer, nowMs: Milliseconds): ColdChange {
    return this.#recordStart(server, 'listed', nowMs);
  }

  /** Records that the evacuation of a server's zone was withdrawn at `reopenedAtMs`. */
  onReopened(
    server: BackendServer,
    nowMs: Milliseconds,
    reopenedAtMs: Milliseconds = nowMs,
  ): ColdChange {
    return this.#recordStart(server, 'reopened', nowMs, reopenedAtMs);
  }

  /**
   * Records that a server failed. It may start again, which shows in the list. While this host is
   * isolated, the server counts as cold until some time after it answers.
   */
  onFailed(server: BackendServer): void {
    if (this.coldStartOf(server.service) === undefined || this.#failed.size >= MAX_SERVERS) return;
    this.#failed.set(server.id, server);
  }

  /** Records that a server that may have failed before answered at `nowMs`. */
  onAnswered(server: BackendServer, nowMs: Milliseconds): ColdChange {
    if (!this.#failed.delete(server.id) || !this.#isIsolated) return undefined;
    return this.#recordStart(server, 'reconnected', nowMs);
  }

  /**
   * Sets whether this host reaches neither the store nor peers, and forgets failures of servers that
   * are not listed any more.
   */
  updateFailures(isIsolated: boolean, isListed: (server: BackendServer) => boolean): void {
    this.#isIsolated = isIsolated;
    for (const [id, server] of this.#failed) if (!isListed(server)) this.#failed.delete(id);
  }

  /** Merges a report of another host, which arrived at `nowMs`. */
  mergePeerReport(told: Omit<ColdServer, 'changedAtMs'>, nowMs: Milliseconds): ColdChange {
    const { server, source } = told;
    const untilMs = Math.min(nowMs + MAX_COLD_MS, told.untilMs);
    const known = this.#find(server);
    if (known && untilMs <= known.untilMs + TRANSIT_TOLERANCE_MS) return undefined;
    return this.#record(server, untilMs, source, nowMs, SETTLING_MS);
  }

  /** Requests per second that a server sustains from all hosts together; undefined if it is warm. */
  rateOf(server: BackendServer, nowMs: Milliseconds): number | undefined {
    if (!this.isCold(server, nowMs)) return undefined;
    return this.coldStartOf(server.service)?.requestsPerSecond;
  }

  /** Whether a server is cold. */
  isCold(server: BackendServer, nowMs: Milliseconds): boolean {
    if (this.size === 0 || this.coldStartOf(server.service) === undefined) return false;
    return (this.#find(server)?.untilMs ?? 0) > nowMs || this.#hasFailed(server);
  }

  /**
   * Whether a server is cold, and hosts have known it for so long that none that hears the others
   * has sent it anything as a warm server in the last second.
   */
  isSettled(server: BackendServer, nowMs: Milliseconds): boolean {
    if (!this.isCold(server, nowMs)) return false;
    return (this.#find(server)?.settledAtMs ?? Number.POSITIVE_INFINITY) <= nowMs;
  }

  /** Whether a server is cold or was until recently. */
  has(server: BackendServer): boolean {
    return this.#find(server) !== undefined || this.#hasFailed(server);
  }

  /** The cold server with an id, whichever incarnation it is. */
  findById(serverId: string): ColdServer | undefined {
    return this.#records.get(serverId);
  }

  /** All servers that are known to be cold at `nowMs`. */
  all(nowMs: Milliseconds): readonly ColdServer[] {
    return [...this.#records.values()].filter(({ untilMs }) => untilMs > nowMs);
  }

  /**
   * Returns the servers that have become warm since the last call, and forgets those that have been
   * warm for long enough that every host knows it.
   */
  takeWarm(nowMs: Milliseconds): readonly ColdServer[] {
    const warm: ColdServer[] = [];
    for (const [id, record] of this.#records) {
      if (record.untilMs > nowMs) continue;
      if (!record.isTaken) {
        warm.push(record);
        this.#records.set(id, { ...record, isTaken: true });
      }
      if (nowMs - record.untilMs >= RETENTION_MS) this.#records.delete(id);
    }
    return warm;
  }

  #hasFailed({ id }: BackendServer): boolean {
    return this.#isIsolated && this.#failed.has(id);
  }

  #find(server: BackendServer): ColdRecord | undefined {
    const known = this.#records.get(server.id);
    return known && appliesTo(known.server, server) ? known : undefined;
  }

  #recordStart(
    server: BackendServer,
    source: ColdSource,
    nowMs: Milliseconds,
    startedAtMs = nowMs,
  ): ColdChange {
    const durationMs = this.coldStartOf(server.service)?.durationMs ?? 0;
    return this.#record(server, startedAtMs + durationMs, source, nowMs);
  }

  #record(
    server: BackendServer,
    untilMs: Milliseconds,
    source: ColdSource,
    nowMs: Milliseconds,
    settlesInMs = IDLE_SOURCES.has(source) ? 0 : SETTLING_MS,
  ): ColdChange {
    if (untilMs <= nowMs || this.coldStartOf(server.service) === undefined) return undefined;
    const other = this.#records.get(server.id);
    if (other && isNewer(other.server, server)) return undefined;
    const known = other && isSameIncarnation(other.server, server) ? other : undefined;
    if (known && known.untilMs >= untilMs) return undefined;
    const change = changeOf(known, untilMs, nowMs);
    const isStillCold = known !== undefined && known.untilMs > nowMs;
    const settledAtMs = isStillCold ? known.settledAtMs : nowMs + settlesInMs;
    const now = { server, untilMs, source, settledAtMs, isTaken: false };
    if (known && change === undefined) this.#put({ ...known, ...now });
    else this.#put({ ...now, changedAtMs: nowMs, reportedUntilMs: untilMs });
    return change;
  }

  #put(record: ColdRecord): void {
    this.#records.set(record.server.id, record);
    if (this.#records.size <= MAX_SERVERS) return;
    const [first] = [...this.#records.values()].sort((one, two) => one.untilMs - two.untilMs);
    if (first) this.#records.delete(first.server.id);
  }
}
