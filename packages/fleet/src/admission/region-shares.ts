import type { AllowedRegions } from '../allowed-regions.js';

/**
 * Share of the engines that requests limited to `demanding` may use that are among those of
 * `considered`.
 */
export type RegionOverlap = (demanding: AllowedRegions) => number;

/** The overlap for requests that may use all engines. */
export const WHOLE_OVERLAP: RegionOverlap = () => 1;

/** Engines of a service by region; those whose region is unknown serve unlimited requests only. */
export class RegionShares {
  constructor(readonly enginesByRegion: ReadonlyMap<string | undefined, number>) {}

  /** The overlap with the engines of `considered`. */
  overlapWith(considered: AllowedRegions): RegionOverlap {
    if (considered === undefined) return WHOLE_OVERLAP;
    return (demanding) => this.#overlap(demanding, (region) => includes(considered, region));
  }

  /** The overlap with the engines of one region, or with those whose region is unknown. */
  overlapWithin(region: string | undefined): RegionOverlap {
    return (demanding) => this.#overlap(demanding, (other) => other === region);
  }

  #overlap(
    demanding: AllowedRegions,
    isConsidered: (region: string | undefined) => boolean,
  ): number {
    let [all, shared] = [0, 0];
    for (const [region, engines] of this.enginesByRegion) {
      if (!includes(demanding, region)) continue;
      all += engines;
      if (isConsidered(region)) shared += engines;
    }
    return all > 0 ? shared / all : 0;
  }
}

function includes(allowed: AllowedRegions, region: string | undefined): boolean {
  return allowed === undefined || (region !== undefined && allowed.includes(region));
}
