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
const MIN_SHORT_SHARE = 0.1;
const MAX_SHORT_SHARE = 0.9;
/** A busier lane than this counts as hopeless. */
const MAX_UTILIZATION = 0.98;
/** Utilisation that a split is judged at where the measured one is lower. */
const MIN_ASSUMED_UTILIZATION = 0.7;

interface LaneLoad {
  readonly count: number;
  readonly workTokens: number;
  readonly sumOfSquares: number;
  readonly sumOfInverses: number;
}

function summarizeLoad(buckets: readonly SizeBucket[]): LaneLoad {
  let [count, workTokens, sumOfSquares, sumOfInverses] = [0, 0, 0, 0];
  for (const bucket of buckets) {
    const mean = bucket.workTokens / bucket.count;
    count += bucket.count;
    workTokens += bucket.workTokens;
    sumOfSquares += bucket.count * mean * mean;
    sumOfInverses += bucket.count / mean;
  }
  return {
    count,
    workTokens,
    sumOfSquares,
    sumOfInverses,
  };
}

/**
 * Sum over a lane's requests of wait divided by size, by the Pollaczek-Khinchine mean wait of a
 * queue with `share` of all capacity. The unit of time cancels out between splits.
 */
function totalSlowdown(load: LaneLoad, share: number, totalCapacity: number): number {
  if (load.count === 0) return 0;
  const capacity = share * totalCapacity;
  const use = load.workTokens / capacity;
  if (use >= MAX_UTILIZATION) return Number.POSITIVE_INFINITY;
  const meanWait = load.sumOfSquares / (2 * capacity * capacity * (1 - use));
  return meanWait * load.sumOfInverses * capacity;
}

/**
 * Chooses the cut-off and the split of engines that make the predicted mean slowdown least.
 * `use` is the measured share of all engines' capacity that is busy, from 0 to 1.
 */
export function chooseLaneSplit(buckets: readonly SizeBucket[], use: number): LaneSplit {
  const all = summarizeLoad(buckets);
  if (all.count < MIN_REQUESTS) return SINGLE_LANE;
  const capacity =
    all.workTokens / Math.max(MIN_ASSUMED_UTILIZATION, Math.min(MAX_UTILIZATION - 0.01, use));
  let best = SINGLE_LANE;
  let minSlowdown = totalSlowdown(all, 1, capacity);
  for (let cut = 1; cut < buckets.length; cut += 1) {
    const short = summarizeLoad(buckets.slice(0, cut));
    const long = summarizeLoad(buckets.slice(cut));
    for (let step = 1; step < SPLIT_STEPS; step += 1) {
      const share = step / SPLIT_STEPS;
      if (share < MIN_SHORT_SHARE || share > MAX_SHORT_SHARE) continue;
      const slowdown =
        totalSlowdown(short, share, capacity) + totalSlowdown(long, 1 - share, capacity);
      if (slowdown >= minSlowdown) continue;
      minSlowdown = slowdown;
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
