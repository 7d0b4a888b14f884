import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { LoadSample } from './run-load.js';
import { SHORT_PROMPT_TOKENS } from './workload.js';

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}

/** Summary of a load run. */
export interface LoadSummary {
  readonly requests: number;
  readonly short: Percentiles;
  readonly longestTenth: Percentiles;
  /** Time to first token by prompt length; the key is the minimum length of the group. */
  readonly byLength: Readonly<Record<string, Percentiles>>;
  readonly codes: Readonly<Record<string, number>>;
  /** Requests that took longer than their time limit plus a grace period. */
  readonly late: number;
}

const MICROSECONDS_PER_MS = 1000;
const MAX_MICROSECONDS = 600_000_000;
const LENGTH_GROUPS = [0, 2000, 8192, 32_000, 100_000, 400_000] as const;
const LATE_GRACE_MS = 250;

function buildHistogram(samples: readonly LoadSample[]): Histogram {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: 3,
  });
  for (const { firstTokenMs } of samples) {
    if (firstTokenMs !== undefined)
      histogram.recordValue(Math.round(firstTokenMs * MICROSECONDS_PER_MS));
  }
  return histogram;
}

/** Computes percentiles of the time to first token, over the samples that received one. */
export function firstTokenPercentiles(samples: readonly LoadSample[]): Percentiles {
  const histogram = buildHistogram(samples);
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    count: histogram.totalCount,
    p50: at(50),
    p90: at(90),
    p99: at(99),
    max: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}

/** Summarizes a load run. */
export function summarize(samples: readonly LoadSample[], timeLimitMs: number): LoadSummary {
  const longestFirst = [...samples].sort((a, b) => b.promptTokens - a.promptTokens);
  const groups = LENGTH_GROUPS.map((from, index) => {
    const to = LENGTH_GROUPS[index + 1] ?? Number.POSITIVE_INFINITY;
    const inGroup = samples.filter(({ promptTokens: n }) => n >= from && n < to);
    return [String(from), firstTokenPercentiles(inGroup)] as const;
  });
  const codes: Record<string, number> = {};
  for (const { code } of samples) codes[code] = (codes[code] ?? 0) + 1;
  return {
    requests: samples.length,
    short: firstTokenPercentiles(
      samples.filter((sample) => sample.promptTokens < SHORT_PROMPT_TOKENS),
    ),
    longestTenth: firstTokenPercentiles(longestFirst.slice(0, Math.ceil(samples.length / 10))),
    byLength: Object.fromEntries(groups),
    codes,
    late: samples.filter(({ totalMs }) => totalMs > timeLimitMs + LATE_GRACE_MS).length,
  };
}
