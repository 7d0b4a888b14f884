import { Fleet, getJson } from '@poppypond/launch';
import type { Flags } from '@poppypond/launch';
import { makeWorkload, runLoad, SHORT_PROMPT_TOKENS, summarize } from '@poppypond/load';
import type { Arrival, LoadSample, LoadSummary } from '@poppypond/load';
import { z } from 'zod';
import { renderChartByLength } from './chart.js';
import { markdownTable, median, print, writeReport } from './report.js';

/** Options of the mixed measurement. */
export interface MixedOptions {
  readonly seeds: readonly number[];
  readonly gateways: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly variants: readonly string[];
  readonly json: string | undefined;
}

/**
 * A placement policy to compare: a baseline, poppypond, or poppypond without one of its mechanisms.
 */
interface Variant {
  readonly name: string;
  readonly isBaseline: boolean;
  readonly flags: Flags;
}

interface VariantRun {
  readonly seed: number;
  readonly alone: LoadSummary;
  readonly mixed: LoadSummary;
  /**
   * Ratio of the p99 time to first token of short requests with long requests present to that
   * without.
   */
  readonly slowdown: number;
  readonly heldAfterTokens: number;
}

interface VariantResult {
  readonly name: string;
  readonly isBaseline: boolean;
  readonly runs: readonly VariantRun[];
}

const TIME_LIMIT_MS = 60_000;

/** With these flags one engine prefills about 170 tokens per millisecond. */
const ENGINE_FLAGS: Flags = { 'step-base-ms': 4, 'prefill-ms': 0.004, 'decode-ms': 0.02 };

const GATEWAY_FLAGS: Flags = {
  'prefill-tokens-per-ms': 170,
  'step-ms': 12,
  'decode-step-ms': 12,
  'other-zone-ms': 1,
};

const BASELINE_FLAGS: Flags = { 'use-priority': false };

const VARIANTS: readonly Variant[] = [
  {
    name: 'round-robin',
    isBaseline: true,
    flags: { ...BASELINE_FLAGS, placement: 'round-robin' },
  },
  {
    name: 'least-requests',
    isBaseline: true,
    flags: { ...BASELINE_FLAGS, placement: 'least-requests' },
  },
  {
    name: 'least-tokens',
    isBaseline: true,
    flags: { ...BASELINE_FLAGS, placement: 'least-tokens' },
  },
  { name: 'poppypond', isBaseline: false, flags: {} },
  { name: 'without-lanes', isBaseline: false, flags: { 'use-lanes': false } },
  { name: 'without-late-binding', isBaseline: false, flags: { 'use-late-binding': false } },
  { name: 'without-affinity', isBaseline: false, flags: { 'use-affinity': false } },
  { name: 'without-priority', isBaseline: false, flags: { 'use-priority': false } },
];

const truthSchema = z.object({ heldTokens: z.number() });

async function heldTokens(fleet: Fleet): Promise<number> {
  const truths = await Promise.all(fleet.engines.map(({ url }) => getJson(`${url}/truth`)));
  return truths.reduce<number>((sum, truth) => sum + truthSchema.parse(truth).heldTokens, 0);
}

async function runArrivals(
  fleet: Fleet,
  arrivals: readonly Arrival[],
  seed: number,
): Promise<readonly LoadSample[]> {
  const urls = fleet.gateways.map((gateway) => gateway.url);
  return runLoad(arrivals, { urls, seed, timeLimitMs: TIME_LIMIT_MS });
}

async function runVariant(
  variant: Variant,
  seed: number,
  options: MixedOptions,
): Promise<VariantRun & { readonly samples: readonly LoadSample[] }> {
  const fleet = await Fleet.start({
    gateways: options.gateways,
    engines: options.engines,
    services: 0,
    engineFlags: ENGINE_FLAGS,
    gatewayFlags: { ...GATEWAY_FLAGS, ...variant.flags, seed },
  });
  try {
    const arrivals = makeWorkload({ ...options, seed, burstFactor: 1.5, hugeShare: 0.02 });
    const short = arrivals.filter((arrival) => arrival.promptTokens < SHORT_PROMPT_TOKENS);
    const alone = summarize(await runArrivals(fleet, short, seed), TIME_LIMIT_MS);
    const samples = await runArrivals(fleet, arrivals, seed);
    const mixed = summarize(samples, TIME_LIMIT_MS);
    const slowdown = mixed.short.p99 / alone.short.p99;
    return { seed, alone, mixed, slowdown, heldAfterTokens: await heldTokens(fleet), samples };
  } finally {
    await fleet.stop();
  }
}

function medianOf(result: VariantResult, value: (run: VariantRun) => number): number {
  return median(result.runs.map(value));
}

function resultRow(result: VariantResult): readonly string[] {
  const formatMedian = (value: (run: VariantRun) => number, digits = 1) =>
    medianOf(result, value).toFixed(digits);
  return [
    result.name,
    formatMedian((run) => run.alone.short.p99),
    formatMedian((run) => run.mixed.short.p50),
    formatMedian((run) => run.mixed.short.p99),
    formatMedian((run) => run.slowdown, 2),
    formatMedian((run) => run.mixed.longestTenth.p50, 0),
    formatMedian((run) => run.mixed.longestTenth.p90, 0),
    formatMedian((run) => run.mixed.codes['ok'] ?? 0, 0),
    formatMedian((run) => run.mixed.requests - (run.mixed.codes['ok'] ?? 0), 0),
    formatMedian((run) => run.mixed.late, 0),
    formatMedian((run) => run.heldAfterTokens, 0),
  ];
}

const TABLE_HEADER = [
  'placement',
  'short p99 alone ms',
  'short p50 mixed ms',
  'short p99 mixed ms',
  'slowdown',
  'longest tenth p50 ms',
  'longest tenth p90 ms',
  'ok',
  'not ok',
  'late',
  'tokens held after',
];

function printRatios(results: readonly VariantResult[]): void {
  const ownResult = results.find((result) => result.name === 'poppypond');
  if (!ownResult) return;
  const slowdown = medianOf(ownResult, (run) => run.slowdown);
  const longPromptMs = medianOf(ownResult, (run) => run.mixed.longestTenth.p50);
  print(`slowdown of short requests: ${slowdown.toFixed(2)} (target at most 1.25)`);
  for (const baseline of results.filter((result) => result.isBaseline)) {
    const slowdownRatio = medianOf(baseline, (run) => run.slowdown) / slowdown;
    const long = longPromptMs / medianOf(baseline, (run) => run.mixed.longestTenth.p50);
    print(
      `against ${baseline.name}: slowdown ${slowdownRatio.toFixed(2)} times lower, ` +
        `time to first token of the longest tenth ${long.toFixed(2)} times as long`,
    );
  }
}

/** Measures the latency of short and long prompts on one fleet, for each variant. */
export async function measureMixed(options: MixedOptions): Promise<void> {
  const variants = VARIANTS.filter(
    ({ name }) => options.variants.length === 0 || options.variants.includes(name),
  );
  const runs = new Map<string, VariantRun[]>(variants.map(({ name }) => [name, []]));
  const sampleLines: string[] = [];
  const lastSamples = new Map<string, readonly LoadSample[]>();
  for (const seed of options.seeds) {
    for (const variant of variants) {
      const { samples: raw, ...run } = await runVariant(variant, seed, options);
      runs.get(variant.name)?.push(run);
      lastSamples.set(variant.name, raw);
      for (const sample of raw)
        sampleLines.push(JSON.stringify({ variant: variant.name, seed, ...sample }));
      print(
        `seed ${String(seed)} ${variant.name}: short p99 ${run.mixed.short.p99.toFixed(1)} ms, ` +
          `slowdown ${run.slowdown.toFixed(2)}, longest tenth p50 ` +
          `${run.mixed.longestTenth.p50.toFixed(0)} ms, codes ${JSON.stringify(run.mixed.codes)}`,
      );
    }
  }
  const results = variants.map(({ name, isBaseline }) => ({
    name,
    isBaseline,
    runs: runs.get(name) ?? [],
  }));
  print(`\nmedians of ${String(options.seeds.length)} seeds\n`);
  print(markdownTable(TABLE_HEADER, results.map(resultRow)));
  print('');
  printRatios(results);
  writeReport('out/mixed-samples.jsonl', `${sampleLines.join('\n')}\n`);
  writeReport('out/mixed.svg', renderChartByLength(lastSamples));
  if (options.json !== undefined) {
    writeReport(options.json, `${JSON.stringify({ options, results }, undefined, 2)}\n`);
  }
}
