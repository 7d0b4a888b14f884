import type { Milliseconds } from '@poppypond/core';
import type { AttemptResult, FleetView } from '@poppypond/fleet';
import type { ExchangeParts } from './exchange-parts.js';
import type { Heartbeat, WireResult } from './peer-messages.js';

/** Dependencies of `ResultExchange`. */
export interface ResultExchangeParts extends ExchangeParts {
  readonly fleet: FleetView;
  /** Makes all hosts that select among the servers of `service` avoid one of them. */
  readonly broadcast: (server: string, service: string, forMs: Milliseconds) => void;
}

/** A host reports results of a service for this long after one of its requests failed. */
const REPORTED_AFTER_FAILURE_MS: Milliseconds = 5000;
/**
 * Results that the heartbeats of all hosts carry together in one period. Each takes about 30 bytes,
 * so the host that receives them gets 15 KB a second at two heartbeats a second.
 */
const MAX_RESULTS_OF_ALL_HOSTS = 256;
/**
 * Results that waited for longer are not sent: the receiver counts them as new. They wait while this
 * host is the first in rank or hears of none.
 */
const MAX_WAIT_MS: Milliseconds = 2000;
/** Reporting hosts that are remembered; more than any deployment has. */
const MAX_REPORTERS = 1024;
/** Services whose failures are remembered; more than any deployment has. */
const MAX_SERVICES = 256;

interface UnsentResult {
  readonly result: AttemptResult;
  readonly atMs: Milliseconds;
}

/** The latest heartbeat of a host that carried results. */
type LatestReport = Pick<Heartbeat, 'incarnation' | 'sentAtMs'>;

/**
 * Pools the results of calls to plain servers. A single host sends a server of a large service a
 * request every few seconds, too few to judge it within the time that faults last. So hosts report
 * a sample of results to the first live host in rank, in the heartbeats that they send to it anyway;
 * that host makes all avoid a server with a high failure rate. Nothing is reported of services
 * without failures.
 */
export class ResultExchange {
  #unsent: readonly UnsentResult[] = [];
  readonly #latestReports = new Map<string, LatestReport>();
  readonly #lastFailureMs = new Map<string, Milliseconds>();

  constructor(readonly parts: ResultExchangeParts) {}

  /**
   * Records the result of an attempt of this host. Returns for how long all hosts avoid the server,
   * if it has a high failure rate now and was not avoided.
   */
  record(result: AttemptResult): Milliseconds | undefined {
    const nowMs = this.parts.clock.monotonicMs();
    const { service, isFailed } = result;
    if (isFailed && (this.#lastFailureMs.has(service) || this.#lastFailureMs.size < MAX_SERVICES))
      this.#lastFailureMs.set(service, nowMs);
    const failedAtMs = this.#lastFailureMs.get(service) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - failedAtMs < REPORTED_AFTER_FAILURE_MS)
      this.#unsent = [...this.#unsent, { result, atMs: nowMs }].slice(-this.#mostPerHeartbeat);
    return this.#apply(result, nowMs);
  }

  /** Results for a heartbeat to `host`, which are then forgotten; undefined if there are none. */
  forHeartbeat(host: string): WireResult[] | undefined {
    if (this.#unsent.length === 0 || this.#firstHost !== host) return undefined;
    const fromMs = this.parts.clock.monotonicMs() - MAX_WAIT_MS;
    const sent = this.#unsent.filter(({ atMs }) => atMs >= fromMs);
    this.#unsent = [];
    if (sent.length === 0) return undefined;
    return sent.map(({ result }) => [result.serverId, result.service, result.isFailed]);
  }

  /** Applies the results in a heartbeat, once if the network repeats it. */
  onHeartbeat(beat: Heartbeat): void {
    const { results } = beat;
    if (!results || !this.parts.fleet.avoidance.isEnabled || !this.#isNewReport(beat)) return;
    const nowMs = this.parts.clock.monotonicMs();
    for (const [serverId, service, isFailed] of results)
      this.#apply({ serverId, service, isFailed }, nowMs);
  }

  #isNewReport({ host, incarnation, sentAtMs }: Heartbeat): boolean {
    const latest = this.#latestReports.get(host);
    if (latest?.incarnation === incarnation && sentAtMs <= latest.sentAtMs) return false;
    if (!latest && this.#latestReports.size >= MAX_REPORTERS) this.#latestReports.clear();
    this.#latestReports.set(host, { incarnation, sentAtMs });
    return true;
  }

  #apply(result: AttemptResult, nowMs: Milliseconds): Milliseconds | undefined {
    const forMs = this.parts.fleet.avoidance.onResult(result, nowMs);
    if (forMs !== undefined) this.parts.broadcast(result.serverId, result.service, forMs);
    return forMs;
  }

  /** The host that pools results; undefined if it is this one. */
  get #firstHost(): string | undefined {
    const { peers } = this.parts;
    return peers.place === 0 ? undefined : peers.highestRankedPeers()[0]?.host;
  }

  get #mostPerHeartbeat(): number {
    return Math.max(2, Math.floor(MAX_RESULTS_OF_ALL_HOSTS / (this.parts.peers.size + 1)));
  }
}
