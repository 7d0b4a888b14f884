import type { Milliseconds } from '@poppypond/core';
import type { AllowedRegions } from '../allowed-regions.js';
import { DemandEstimate } from './demand-estimate.js';
import type { DemandingRequest, PriorityDemand } from './demand-estimate.js';
import { WHOLE_OVERLAP } from './region-shares.js';
import type { RegionOverlap } from './region-shares.js';

/** Demand of the requests that are limited to the same regions. */
export interface LimitedDemand {
  readonly regions: readonly string[];
  readonly demands: readonly PriorityDemand[];
}

interface Group {
  readonly regions: readonly string[];
  readonly estimate: DemandEstimate;
}

/** Sets of regions that demand is kept for; requests limited to others count as unlimited. */
const MAX_GROUPS = 8;

function keyOf(regions: readonly string[]): string {
  return JSON.stringify([...regions].sort());
}

/** Adds up demands of the same priority, of which `share` falls on the engines considered. */
function addDemands(
  sums: Map<number, PriorityDemand>,
  demands: readonly PriorityDemand[],
  share: number,
): void {
  for (const { priority, engineMsPerSecond, requestsPerSecond, ageMs } of demands) {
    const known = sums.get(priority);
    sums.set(priority, {
      priority,
      engineMsPerSecond: (known?.engineMsPerSecond ?? 0) + engineMsPerSecond * share,
      requestsPerSecond: (known?.requestsPerSecond ?? 0) + requestsPerSecond * share,
      ageMs: Math.min(known?.ageMs ?? ageMs, ageMs),
    });
  }
}

/** Engine time that requests ask for, by the regions that they are limited to and by priority. */
export class RegionalDemand {
  readonly #unlimited = new DemandEstimate();
  readonly #groups = new Map<string, Group>();

  /** Counts a request as `DemandEstimate.record` does. */
  record(request: DemandingRequest, nowMs: Milliseconds, count = 1): boolean {
    return this.#of(request.regions, nowMs).record(request, nowMs, count);
  }

  /** Whether requests that are limited to regions ask for engines. */
  isRegional(nowMs: Milliseconds): boolean {
    return [...this.#groups.values()].some(({ estimate }) => estimate.byPriority(nowMs).length > 0);
  }

  /** The demand of all priorities on some engines, the most urgent first. */
  byPriority(
    nowMs: Milliseconds,
    overlap: RegionOverlap = WHOLE_OVERLAP,
  ): readonly PriorityDemand[] {
    const unlimitedShare = overlap(undefined);
    const unlimited = this.#unlimited.byPriority(nowMs);
    if (unlimitedShare === 1 && this.#groups.size === 0) return unlimited;
    const sums = new Map<number, PriorityDemand>();
    addDemands(sums, unlimited, unlimitedShare);
    for (const { regions, estimate } of this.#groups.values())
      addDemands(sums, estimate.byPriority(nowMs), overlap(regions));
    return [...sums.values()].sort((left, right) => left.priority - right.priority);
  }

  /** The demand of requests that may use any engine. */
  unlimited(nowMs: Milliseconds): readonly PriorityDemand[] {
    return this.#unlimited.byPriority(nowMs);
  }

  /** The demand of requests that are limited to regions. */
  limited(nowMs: Milliseconds): readonly LimitedDemand[] {
    return [...this.#groups.values()]
      .map(({ regions, estimate }) => ({ regions, demands: estimate.byPriority(nowMs) }))
      .filter(({ demands }) => demands.length > 0);
  }

  /** Takes over the demand that another host has estimated, as far as it is unknown here. */
  restore(
    unlimited: readonly PriorityDemand[],
    limited: readonly LimitedDemand[],
    nowMs: Milliseconds,
  ): void {
    this.#unlimited.restore(unlimited, nowMs);
    for (const { regions, demands } of limited) this.#of(regions, nowMs).restore(demands, nowMs);
  }

  #of(regions: AllowedRegions, nowMs: Milliseconds): DemandEstimate {
    if (regions === undefined) return this.#unlimited;
    const key = keyOf(regions);
    const known = this.#groups.get(key);
    if (known) return known.estimate;
    for (const [other, { estimate }] of this.#groups) {
      if (estimate.byPriority(nowMs).length === 0) this.#groups.delete(other);
    }
    if (this.#groups.size >= MAX_GROUPS) return this.#unlimited;
    const created = { regions, estimate: new DemandEstimate() };
    this.#groups.set(key, created);
    return created.estimate;
  }
}
