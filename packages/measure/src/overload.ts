import { Fleet } from '@poppypond/launch';
import { makeWorkload, runLoad } from '@poppypond/load';
import type { LoadSample } from '@poppypond/load';
import { markdownTable, print, writeReport } from './report.js';

/** Options of the overload measurement. */
export interface OverloadOptions {
  readonly seed: number;
  readonly engines: number;
  readonly gateways: number;
  /** Request rate at load 1. */
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly json: string | undefined;
}

const LOADS = [0.5, 1, 1.5, 2, 3];
const TIME_LIMIT_MS = 5000;
const MS_PER_SECOND = 1000;
const ENGINE_FLAGS = { 'step-base-ms': 4, 'prefill-ms': 0.004, 'decode-ms': 0.02 };
const GATEWAY_FLAGS = { 'prefill-tokens-per-ms': 170, 'step-ms': 12, 'decode-step-ms': 12 };

/**
 * Prompt tokens of completely answered requests per second of the arrival period. Counts answers
 * that end at most TIME_LIMIT_MS after that period.
 */
function goodput(samples: readonly LoadSample[], durationMs: number): number {
  const answered = samples.filter(
    ({ code, atMs, totalMs }) => code === 'ok' && atMs + totalMs <= durationMs + TIME_LIMIT_MS,
  );
  const tokens = answered.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
  return (tokens / durationMs) * MS_PER_SECOND;
}

function formatCodeCounts(samples: readonly LoadSample[]): string {
  const codes = new Map<string, number>();
  for (const { code } of samples) codes.set(code, (codes.get(code) ?? 0) + 1);
  return [...codes].map(([code, count]) => `${code} ${String(count)}`).join(', ');
}

/** Measures goodput and late answers as the load rises to three times what the fleet can serve. */
export async function measureOverload(options: OverloadOptions): Promise<void> {
  const rows: (readonly string[])[] = [];
  const figures: { load: number; goodput: number; late: number }[] = [];
  const fleet = await Fleet.start({
    gateways: options.gateways,
    engines: options.engines,
    services: 0,
    engineFlags: ENGINE_FLAGS,
    gatewayFlags: GATEWAY_FLAGS,
  });
  try {
    const urls = fleet.gateways.map((gateway) => gateway.url);
    for (const load of LOADS) {
      const requestsPerSecond = options.requestsPerSecond * load;
      const arrivals = makeWorkload({
        ...options,
        requestsPerSecond,
        burstFactor: 1,
        hugeShare: 0.01,
      });
      const target = { urls, seed: options.seed + load * 100, timeLimitMs: TIME_LIMIT_MS };
      const samples = await runLoad(arrivals, target);
      const late = samples.filter(({ totalMs }) => totalMs > TIME_LIMIT_MS + 300).length;
      const tokensPerSecond = goodput(samples, options.durationMs);
      figures.push({ load, goodput: tokensPerSecond, late });
      rows.push([
        String(load),
        tokensPerSecond.toFixed(0),
        String(late),
        formatCodeCounts(samples),
      ]);
      print(
        `load ${String(load)}: ${tokensPerSecond.toFixed(0)} prompt tokens per second answered completely`,
      );
    }
  } finally {
    await fleet.stop();
  }
  print(markdownTable(['load', 'answered tokens/s', 'late', 'codes'], rows));
  const peak = Math.max(...figures.map(({ goodput: tokensPerSecond }) => tokensPerSecond));
  const goodputAtTripleLoad = figures.at(-1)?.goodput ?? 0;
  print(
    `goodput at 3 times the load is ${(goodputAtTripleLoad / peak).toFixed(2)} of the peak (target 0.9)`,
  );
  if (options.json !== undefined)
    writeReport(options.json, JSON.stringify({ options, figures }, undefined, 2));
}
