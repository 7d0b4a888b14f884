import type { Milliseconds } from '@poppypond/core';
import type { AllowedRegions } from '../allowed-regions.js';
import { DecayedRate } from './decayed-rate.js';

/** A request that asks for engine time. */
export interface DemandingRequest {
  /** The same for all tries of a request. */
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly workspace: string;
  readonly engineMs: Milliseconds;
  /** Regions whose engines it may use; any if undefined. */
  readonly regions?: AllowedRegions;
}

/** Engine time that the requests of one priority ask for. */
export interface PriorityDemand {
  readonly priority: number;
  /** Engine milliseconds per second; divided by 1,000, the number of engines that it keeps busy. */
  readonly engineMsPerSecond: number;
  readonly requestsPerSecond: number;
  /** Time since the last request. */
  readonly ageMs: Milliseconds;
}

/**
 * Half-lives of the two averages of which the higher one counts: the fast one follows a rise within
 * a second, the slow one keeps a demand through a gap between requests.
 */
const FAST_HALF_LIFE_MS: Milliseconds = 500;
const SLOW_HALF_LIFE_MS: Milliseconds = 2500;
/**
 * The fast average counts only if it covers this many requests: two long prompts a second, of 3 s of
 * engine time each, would be estimated at 38 engines by the chance of their arrivals.
 */
const MIN_FAST_REQUESTS = 8;
const MS_PER_SECOND = 1000;
/** A request that returns within this time is not counted again. */
const COUNTED_FOR_MS: Milliseconds = 20_000;
const MAX_COUNTED = 20_000;
/** A priority or workspace without a request for this long is dropped. */
const FORGOTTEN_AFTER_MS: Milliseconds = 30_000;
/** Combinations of the priorities of workspaces and routes. */
const MAX_PRIORITIES = 16;
const MAX_WORKSPACES = 512;
/** Half-life of the demand of a workspace, which is reported and not planned by. */
const WORKSPACE_HALF_LIFE_MS: Milliseconds = 8000;

/** Two averages of one amount. */
class RatePair {
  readonly fast = new DecayedRate(FAST_HALF_LIFE_MS);
  readonly slow = new DecayedRate(SLOW_HALF_LIFE_MS);

  add(amount: number, nowMs: Milliseconds): void {
    this.fast.add(amount, nowMs);
    this.slow.add(amount, nowMs);
  }
}

/** The rates of one priority. */
class PriorityRates {
  readonly #engineMs = new RatePair();
  readonly #requests = new RatePair();
  lastAtMs: Milliseconds = 0;

  add({ engineMs }: DemandingRequest, count: number, nowMs: Milliseconds): void {
    this.#engineMs.add(engineMs * count, nowMs);
    this.#requests.add(count, nowMs);
    this.lastAtMs = nowMs;
  }

  engineMsPerSecond(nowMs: Milliseconds): number {
    return this.#higherRate(this.#engineMs, nowMs);
  }

  requestsPerSecond(nowMs: Milliseconds): number {
    return this.#higherRate(this.#requests, nowMs);
  }

  /** Sets the rates as of `nowMs`, as another host has estimated them. */
  restore(
    { engineMsPerSecond, requestsPerSecond, ageMs }: PriorityDemand,
    nowMs: Milliseconds,
  ): void {
    this.#engineMs.slow.restore(engineMsPerSecond, nowMs);
    this.#requests.slow.restore(requestsPerSecond, nowMs);
    this.lastAtMs = nowMs - ageMs;
  }

  #higherRate({ fast, slow }: RatePair, nowMs: Milliseconds): number {
    const fastRequests = (this.#requests.fast.perSecond(nowMs) * FAST_HALF_LIFE_MS) / MS_PER_SECOND;
    // Over a shorter time the first long prompt of a priority would count as 46 engines.
    const slowRate = slow.perSecond(nowMs, SLOW_HALF_LIFE_MS);
    if (fastRequests < MIN_FAST_REQUESTS) return slowRate;
    return Math.max(fast.perSecond(nowMs), slowRate);
  }
}

/** Engine time that requests ask for per second, by priority and workspace. */
export class DemandEstimate {
  readonly #byPriority = new Map<number, PriorityRates>();
  readonly #byWorkspace = new Map<string, DecayedRate>();
  /** When each recent request was counted, oldest first. */
  readonly #countedAtMs = new Map<string, Milliseconds>();

  /**
   * Counts a request once, however often it is asked for. `count`: number of similar requests that
   * it stands for. Returns whether it was new.
   */
  record(request: DemandingRequest, nowMs: Milliseconds, count = 1): boolean {
    if (this.#countedAtMs.has(request.id)) return false;
    this.#forgetCounted(nowMs);
    this.#countedAtMs.set(request.id, nowMs);
    this.#ratesOf(request.priority, nowMs)?.add(request, count, nowMs);
    this.#workspace(request.workspace, nowMs).add(request.engineMs, nowMs);
    return true;
  }

  /** The demand of all priorities, the most urgent first. */
  byPriority(nowMs: Milliseconds): readonly PriorityDemand[] {
    return [...this.#byPriority]
      .filter(([, { lastAtMs }]) => nowMs - lastAtMs <= FORGOTTEN_AFTER_MS)
      .sort(([left], [right]) => left - right)
      .map(([priority, rates]) => ({
        priority,
        engineMsPerSecond: rates.engineMsPerSecond(nowMs),
        requestsPerSecond: rates.requestsPerSecond(nowMs),
        ageMs: nowMs - rates.lastAtMs,
      }));
  }

  /** Engine milliseconds per second that a workspace asks for. */
  ofWorkspace(workspace: string, nowMs: Milliseconds): number {
    return this.#byWorkspace.get(workspace)?.perSecond(nowMs) ?? 0;
  }

  /** Takes over the demand that another host has estimated, unless it is known here. */
  restore(demands: readonly PriorityDemand[], nowMs: Milliseconds): void {
    for (const demand of demands) {
      const rates = this.#ratesOf(demand.priority, nowMs);
      if (rates && rates.requestsPerSecond(nowMs) === 0) rates.restore(demand, nowMs);
    }
  }

  #ratesOf(priority: number, nowMs: Milliseconds): PriorityRates | undefined {
    const known = this.#byPriority.get(priority);
    if (known) return known;
    for (const [other, { lastAtMs }] of this.#byPriority) {
      if (nowMs - lastAtMs > FORGOTTEN_AFTER_MS) this.#byPriority.delete(other);
    }
    if (this.#byPriority.size >= MAX_PRIORITIES) return undefined;
    const created = new PriorityRates();
    this.#byPriority.set(priority, created);
    return created;
  }

  /** The least recently used workspace makes room for a new one. */
  #workspace(workspace: string, nowMs: Milliseconds): DecayedRate {
    const known = this.#byWorkspace.get(workspace) ?? new DecayedRate(WORKSPACE_HALF_LIFE_MS);
    this.#byWorkspace.delete(workspace);
    for (const [other, rate] of this.#byWorkspace) {
      const isOld = nowMs - (rate.lastAtMs ?? 0) > FORGOTTEN_AFTER_MS;
      if (!isOld && this.#byWorkspace.size < MAX_WORKSPACES) break;
      this.#byWorkspace.delete(other);
    }
    this.#byWorkspace.set(workspace, known);
    return known;
  }

  #forgetCounted(nowMs: Milliseconds): void {
    for (const [id, atMs] of this.#countedAtMs) {
      const isOld = nowMs - atMs > COUNTED_FOR_MS;
      if (!isOld && this.#countedAtMs.size < MAX_COUNTED) return;
      this.#countedAtMs.delete(id);
    }
  }
}
