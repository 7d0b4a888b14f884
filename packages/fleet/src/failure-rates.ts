import type { Milliseconds } from '@poppypond/core';

/** How an attempt at a server ended, as far as the server is concerned. */
export interface AttemptResult {
  readonly serverId: string;
  readonly service: string;
  /**
   * Whether the server answered with a 5xx status, rejected the request without asking for a backoff,
   * or did not answer completely.
   */
  readonly isFailed: boolean;
}

/** Results of a server within the last seconds, and failures among them. */
export interface FailureCounts {
  readonly outcomes: number;
  readonly failures: number;
}

interface Outcome {
  readonly atMs: Milliseconds;
  readonly isFailed: boolean;
}

interface ServerOutcomes {
  readonly service: string;
  /** The latest outcomes, oldest first. */
  readonly latest: readonly Outcome[];
}

/** What the servers of a service have in common, as of `atMs`. */
interface Baseline {
  readonly atMs: Milliseconds;
  /** Median share of failures over the servers with enough outcomes. */
  readonly medianShare: number;
  readonly total: FailureCounts;
}

/** Outcomes older than this no longer count. */
const WINDOW_MS: Milliseconds = 5000;
/** The latest outcomes that count, so that a server with many requests is judged within a second. */
const MAX_OUTCOMES = 20;
const MIN_OUTCOMES = 5;
/** A failing server has at least this share of failures, and this multiple of the median share. */
const MIN_SHARE = 0.25;
const MEDIAN_FACTOR = 3;

/** Servers with enough outcomes from which on their median share tells something. */
const MIN_COMPARED = 3;

/** What it takes for a failure rate to count as high. */
interface Evidence {
  readonly outcomes: number;
  readonly failures: number;
  /**
   * Probability with which a server that fails as often as the others of its service would have so
   * many failures.
   */
  readonly chance: number;
}

/**
 * Of servers that answer 14 of 100 requests with an error by design, one in fifty with five outcomes
 * has three failures; the bound on the probability excludes them.
 */
const USUAL_EVIDENCE: Evidence = { outcomes: MIN_OUTCOMES, failures: 3, chance: 0.001 };
/** For a server that returns after it was avoided and gets few requests. */
const PROBATION_EVIDENCE: Evidence = { outcomes: 2, failures: 2, chance: 0.1 };
/** Lowest share of failures that is assumed of the other servers: three of five then suffice. */
const MIN_EXPECTED_SHARE = 0.02;
/** The baseline of a service is computed at most once in this time, as it reads all its servers. */
const BASELINE_PERIOD_MS: Milliseconds = 250;
/** More servers than any deployment has; the one that was heard of least recently is dropped. */
const MAX_SERVERS = 2048;

const NO_OUTCOMES: FailureCounts = { outcomes: 0, failures: 0 };

function countOutcomes(latest: readonly Outcome[], nowMs: Milliseconds): FailureCounts {
  const recent = latest.filter(({ atMs }) => nowMs - atMs <= WINDOW_MS);
  return { outcomes: recent.length, failures: recent.filter(({ isFailed }) => isFailed).length };
}

function shareOf({ outcomes, failures }: FailureCounts): number {
  return outcomes === 0 ? 0 : failures / outcomes;
}

/** Probability of at least `failures` failures in `outcomes` independent ones. */
function chanceOf({ outcomes, failures }: FailureCounts, share: number): number {
  let term = (1 - share) ** outcomes;
  let below = 0;
  for (let count = 0; count < failures; count += 1) {
    below += term;
    term *= ((outcomes - count) / (count + 1)) * (share / (1 - share));
  }
  return 1 - below;
}

/**
 * Detects servers that fail a much larger share of their requests than the other servers of their
 * service, from the outcomes that this process knows. Errors that all servers return alike have no
 * effect.
 */
export class FailureRates {
  readonly #servers = new Map<string, ServerOutcomes>();
  readonly #baselines = new Map<string, Baseline>();

  /** Number of servers with known outcomes. */
  get size(): number {
    return this.#servers.size;
  }

  /**
   * Records the result of an attempt. Returns the counts of its server if that has a high failure
   * rate now. A server on probation is judged by fewer results.
   */
  record(
    { serverId, service, isFailed }: AttemptResult,
    nowMs: Milliseconds,
    isOnProbation = false,
  ): FailureCounts | undefined {
    const known = this.#servers.get(serverId)?.latest ?? [];
    const latest = [...known, { atMs: nowMs, isFailed }].slice(-MAX_OUTCOMES);
    this.#servers.delete(serverId);
    this.#servers.set(serverId, { service, latest });
    this.#dropOldest();
    if (!isFailed) return undefined;
    const counts = countOutcomes(latest, nowMs);
    const evidence = isOnProbation ? PROBATION_EVIDENCE : USUAL_EVIDENCE;
    return this.#isHigh(service, counts, evidence, nowMs) ? counts : undefined;
  }

  /** Forgets the outcomes of a server. */
  forget(serverId: string): void {
    this.#servers.delete(serverId);
  }

  /** Forgets servers without recent outcomes. */
  expire(nowMs: Milliseconds): void {
    for (const [id, { latest }] of this.#servers) {
      const last = latest.at(-1);
      if (!last || nowMs - last.atMs > WINDOW_MS) this.#servers.delete(id);
    }
    for (const [service, { atMs }] of this.#baselines) {
      if (nowMs - atMs > WINDOW_MS) this.#baselines.delete(service);
    }
  }

  #isHigh(
    service: string,
    counts: FailureCounts,
    evidence: Evidence,
    nowMs: Milliseconds,
  ): boolean {
    const { outcomes, failures } = counts;
    if (outcomes < evidence.outcomes || failures < evidence.failures) return false;
    const share = shareOf(counts);
    if (share < MIN_SHARE) return false;
    const { medianShare, total } = this.#baseline(service, nowMs);
    if (share < MEDIAN_FACTOR * medianShare) return false;
    const others = {
      outcomes: Math.max(0, total.outcomes - outcomes),
      failures: Math.max(0, total.failures - failures),
    };
    // There is nothing to compare with if hardly any other server of the service is used.
    if (others.outcomes < MIN_OUTCOMES) return false;
    const expectedShare = Math.min(1, Math.max(MIN_EXPECTED_SHARE, shareOf(others)));
    return expectedShare < 1 && chanceOf(counts, expectedShare) <= evidence.chance;
  }

  #baseline(service: string, nowMs: Milliseconds): Baseline {
    const known = this.#baselines.get(service);
    if (known && nowMs - known.atMs < BASELINE_PERIOD_MS) return known;
    const counts = [...this.#servers.values()]
      .filter((server) => server.service === service)
      .map(({ latest }) => countOutcomes(latest, nowMs));
    const shares = counts
      .filter(({ outcomes }) => outcomes >= MIN_OUTCOMES)
      .map(shareOf)
      .sort((one, other) => one - other);
    const total = counts.reduce(
      (sum, { outcomes, failures }) => ({
        outcomes: sum.outcomes + outcomes,
        failures: sum.failures + failures,
      }),
      NO_OUTCOMES,
    );
    const isComparable = shares.length >= MIN_COMPARED;
    const medianShare = isComparable ? (shares[Math.floor((shares.length - 1) / 2)] ?? 0) : 0;
    const baseline = { atMs: nowMs, medianShare, total };
    this.#baselines.set(service, baseline);
    return baseline;
  }

  #dropOldest(): void {
    if (this.#servers.size <= MAX_SERVERS) return;
    const [first] = this.#servers.keys();
    if (first !== undefined) this.#servers.delete(first);
  }
}
