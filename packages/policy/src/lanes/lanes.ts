import type { SizeBucket } from './size-histogram.js';

/** Which requests count as long, and how many engines are kept free of them. */
export interface LaneSplit {
  /** Work above this is long, in tokens. Infinite where there is one lane only. */
  readonly cutOffTokens: number;
  /** Share of the engines that take no long work, from 0 to 1. */
  readonly shortShare: number;
}

/** One lane for all. */
export const SINGLE_LANE: LaneSplit = { cutOffTokens: Number.POSITIVE_INFINITY, shortShare: 1 };

/** The lane of a request. */
export type Lane = 'short' | 'long';

const MIN_REQUESTS = 20;
const SPLIT_STEPS = 40;
const LEAST_SHORT_SHARE = 0.1;
const GREATEST_SHORT_SHARE = 0.9;
/** A busier lane than this counts as hopeless. */
const MAX_USE = 0.98;
/** Utilisation that a split is judged at where the measured one is lower. */
const JUDGED_USE = 0.7;

interface LaneLoad {
  readonly count: number;
  readonly work: number;
  readonly workSquared: number;
  readonly inverse: number;
}

function loadOf(buckets: readonly SizeBucket[]): LaneLoad {
  let [count, work, workSquared, inverse] = [0, 0, 0, 0];
  for (const bucket of buckets) {
    const mean = bucket.work / bucket.count;
    count += bucket.count;
    work += bucket.work;
    workSquared += bucket.count * mean * mean;
    inverse += bucket.count / mean;
  }
  return { count, work, workSquared, inverse };
}

/**
 * Sum over a lane's requests of wait divided by size, by the Pollaczek-Khinchine mean wait of a
 * queue with `share` of all capacity. The unit of time cancels out between splits.
 */
function laneSlowdown(load: LaneLoad, share: number, totalCapacity: number): number {
  if (load.count === 0) return 0;
  const capacity = share * totalCapacity;
  const use = load.work / capacity;
  if (use >= MAX_USE) return Number.POSITIVE_INFINITY;
  const meanWait = load.workSquared / (2 * capacity * capacity * (1 - use));
  return meanWait * load.inverse * capacity;
}

/**
 * Chooses the cut-off and the split of engines that make the predicted mean slowdown least.
 * `use` is the measured share of all engines' capacity that is busy, from 0 to 1.
 */
export function chooseLaneSplit(buckets: readonly SizeBucket[], use: number): LaneSplit {
  const all = loadOf(buckets);
  if (all.count < MIN_REQUESTS) return SINGLE_LANE;
  const capacity = all.work / Math.max(JUDGED_USE, Math.min(MAX_USE - 0.01, use));
  let best = SINGLE_LANE;
  let least = laneSlowdown(all, 1, capacity);
  for (let cut = 1; cut < buckets.length; cut += 1) {
    const short = loadOf(buckets.slice(0, cut));
    const long = loadOf(buckets.slice(cut));
    for (let step = 1; step < SPLIT_STEPS; step += 1) {
      const share = step / SPLIT_STEPS;
      if (share < LEAST_SHORT_SHARE || share > GREATEST_SHORT_SHARE) continue;
      const slowdown =
        laneSlowdown(short, share, capacity) + laneSlowdown(long, 1 - share, capacity);
      if (slowdown >= least) continue;
      least = slowdown;
      best = { cutOffTokens: buckets[cut - 1]?.limit ?? 0, shortShare: share };
    }
  }
  return best;
}

/** The lane of a request with this much work. */
export function laneOf(workTokens: number, split: LaneSplit): Lane {
  return workTokens > split.cutOffTokens ? 'long' : 'short';
}

/**
 * How many of `engines` take no long work; at least one remains for each lane
 * where there are two or more.
 */
export function shortEngineCount(engines: number, split: LaneSplit): number {
  if (!Number.isFinite(split.cutOffTokens) || engines < 2) return 0;
  return Math.min(engines - 1, Math.max(1, Math.round(engines * split.shortShare)));
}
