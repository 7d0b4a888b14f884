import type { SizeHistogramBucket } from './size-histogram.js';

/**
 * The size above which a request is long, and the fraction of engines reserved for short requests.
 */
export interface LaneSplit {
  /** A request with more work than this is long, in tokens. Infinite if there is only one lane. */
  readonly cutOffTokens: number;
  /** Fraction of the engines that accept no long requests, from 0 to 1. */
  readonly shortShare: number;
}

/** A single lane for all requests. */
export const SINGLE_LANE: LaneSplit = { cutOffTokens: Number.POSITIVE_INFINITY, shortShare: 1 };

/** The lane of a request. */
export type Lane = 'short' | 'long';

const MIN_REQUESTS = 20;
const SPLIT_STEPS = 40;
const MIN_SHORT_SHARE = 0.1;
const MAX_SHORT_SHARE = 0.9;
/**
 * A lane with at least this utilization counts as overloaded: its predicted slowdown is infinite.
 */
const MAX_UTILIZATION = 0.98;
/** Splits are evaluated at this utilization if the measured one is lower. */
const MIN_ASSUMED_UTILIZATION = 0.7;

interface LaneLoad {
  readonly count: number;
  readonly workTokens: number;
  readonly sumOfSquares: number;
  readonly sumOfInverses: number;
}

function summarizeLoad(buckets: readonly SizeHistogramBucket[]): LaneLoad {
  let [count, workTokens, sumOfSquares, sumOfInverses] = [0, 0, 0, 0];
  for (const bucket of buckets) {
    const mean = bucket.workTokens / bucket.count;
    count += bucket.count;
    workTokens += bucket.workTokens;
    sumOfSquares += bucket.count * mean * mean;
    sumOfInverses += bucket.count / mean;
  }
  return { count, workTokens, sumOfSquares, sumOfInverses };
}

/**
 * Sum over a lane's requests of waiting time divided by size, with the Pollaczek-Khinchine mean
 * wait of a queue that has `share` of the total capacity. The unit of time cancels out when splits
 * are compared.
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
 * Chooses the cut-off and the split of engines with the lowest predicted mean slowdown. `use` is
 * the measured utilization of all engines, from 0 to 1. Returns `SINGLE_LANE` if fewer than
 * `MIN_REQUESTS` were observed or no split is better.
 */
export function chooseLaneSplit(buckets: readonly SizeHistogramBucket[], use: number): LaneSplit {
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

/** Lane of a request with `workTokens` of work. */
export function laneOf(workTokens: number, split: LaneSplit): Lane {
  return workTokens > split.cutOffTokens ? 'long' : 'short';
}

/**
 * Number of `engines` that accept no long requests. With two or more engines, each lane has at
 * least one; 0 if there is only one lane or fewer than two engines.
 */
export function shortEngineCount(engines: number, split: LaneSplit): number {
  if (!Number.isFinite(split.cutOffTokens) || engines < 2) return 0;
  return Math.min(engines - 1, Math.max(1, Math.round(engines * split.shortShare)));
}
