import { Fleet, getJson } from '@poppypond/launch';
import { firstTokenPercentiles, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import type { LoadSample, Percentiles } from '@poppypond/load';
import { z } from 'zod';
import { print, writeReport } from './report.js';
import { timeStream } from './timed-stream.js';

/** Options of the relay measurement. */
export interface RelayOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly requestsPerSecond: number;
  readonly json: string | undefined;
}

const OUTPUT_TOKENS = 32;
const PROMPT_TOKENS = 200;
const ENGINE_COUNT = 6;
const HALF = 0.5;
const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1e6;
const FAST_ENGINE = { 'step-base-ms': 1, 'prefill-ms': 0.001, 'decode-ms': 0, 'max-running': 1000 };

const statusSchema = z.object({
  process: z.object({ rssBytes: z.number(), heapBytes: z.number() }),
});

type Send = (index: number, startedAt: number) => Promise<LoadSample>;

/** Sends requests at a fixed rate, each at its scheduled time, and returns the outcome of each. */
function sendAtRate(rate: number, durationMs: number, send: Send): Promise<readonly LoadSample[]> {
  const startedAt = performance.now();
  const count = Math.floor((rate * durationMs) / MS_PER_SECOND);
  const sending = Array.from(
    { length: count },
    (_, index) =>
      new Promise<LoadSample>((resolve) => {
        const atMs = (index / rate) * MS_PER_SECOND;
        setTimeout(() => void send(index, startedAt + atMs).then(resolve), atMs);
      }),
  );
  return Promise.all(sending);
}

function makeBody(head: string): string {
  const prompt = makePrompt(head, PROMPT_TOKENS);
  return JSON.stringify({ model: SAMPLE_MODEL, prompt, max_tokens: OUTPUT_TOKENS, stream: true });
}

function makeGatewaySender(url: string, seed: number): Send {
  return async (index, startedAt) => {
    const result = await timeStream(
      {
        url: `${url}/v1/completions`,
        headers: { authorization: `Bearer ${sampleKey('members')}` },
        body: makeBody(`relay ${String(seed)} ${String(index)} `),
        tokens: OUTPUT_TOKENS,
        doneMarker: '[DONE]',
      },
      startedAt,
    );
    return { ...result, index, atMs: 0, promptTokens: PROMPT_TOKENS, workspace: 'members' };
  };
}

function makeDirectSender(urls: readonly string[], seed: number): Send {
  return async (index, startedAt) => {
    const result = await timeStream(
      {
        url: `${urls[index % urls.length] ?? ''}/generate`,
        headers: { 'x-request': `direct-${String(index)}`, 'x-attempt': '1' },
        body: makeBody(`direct ${String(seed)} ${String(index)} `),
        tokens: OUTPUT_TOKENS,
        doneMarker: 'event: done',
      },
      startedAt,
    );
    return { ...result, index, atMs: 0, promptTokens: PROMPT_TOKENS, workspace: 'members' };
  };
}

function formatLatency(
  name: string,
  percentiles: Percentiles,
  samples: readonly LoadSample[],
): string {
  const ok = samples.filter(({ code }) => code === 'ok').length;
  return (
    `${name}: first token p50 ${percentiles.p50.toFixed(2)} ms, p99 ${percentiles.p99.toFixed(2)} ms, ` +
    `${String(ok)} of ${String(samples.length)} ok`
  );
}

async function readMemoryMb(url: string): Promise<number> {
  const status = statusSchema.parse(await getJson(`${url}/status`));
  return status.process.rssBytes / BYTES_PER_MB;
}

/** Sends requests at the full rate and samples the gateway's resident memory once per second. */
async function sendAndSampleMemory(url: string, options: RelayOptions) {
  const memoryMb: number[] = [];
  const timer = setInterval(() => {
    void readMemoryMb(url).then((megabytes) => memoryMb.push(megabytes));
  }, MS_PER_SECOND);
  const sender = makeGatewaySender(url, options.seed + 1);
  const startedAt = performance.now();
  const samples = await sendAtRate(options.requestsPerSecond, options.durationMs, sender);
  const elapsedMs = performance.now() - startedAt;
  clearInterval(timer);
  return { samples, memoryMb, elapsedMs };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Ratio of the mean memory in the last quarter of the samples to that in the third quarter: 1 if it
 * does not grow.
 */
function memoryGrowth(memoryMb: readonly number[]): number {
  const secondHalf = memoryMb.slice(Math.floor(memoryMb.length / 2));
  const middle = Math.floor(secondHalf.length / 2);
  return mean(secondHalf.slice(middle)) / mean(secondHalf.slice(0, middle));
}

/** Measures the latency that a gateway adds to the first token, and its throughput and memory. */
export async function measureRelay(options: RelayOptions): Promise<void> {
  const fleet = await Fleet.start({
    gateways: 1,
    engines: ENGINE_COUNT,
    services: 0,
    engineFlags: FAST_ENGINE,
    gatewayFlags: { 'prefill-tokens-per-ms': 500, 'decode-step-ms': 2, 'step-ms': 2 },
  });
  try {
    const url = fleet.gateways[0]?.url ?? '';
    const engineUrls = fleet.engines.map((engine) => engine.url);
    const halfRate = options.requestsPerSecond * HALF;
    const warmUp = { ...options, durationMs: options.durationMs / 6 };
    await sendAtRate(halfRate, warmUp.durationMs, makeGatewaySender(url, options.seed + 2));
    const direct = await sendAtRate(
      halfRate,
      options.durationMs / 3,
      makeDirectSender(engineUrls, options.seed),
    );
    const through = await sendAtRate(
      halfRate,
      options.durationMs / 3,
      makeGatewaySender(url, options.seed),
    );
    const [directPercentiles, throughPercentiles] = [
      firstTokenPercentiles(direct),
      firstTokenPercentiles(through),
    ];
    print(formatLatency(`direct at ${String(halfRate)}/s`, directPercentiles, direct));
    print(
      formatLatency(`through the gateway at ${String(halfRate)}/s`, throughPercentiles, through),
    );
    print(
      `the gateway adds ${(throughPercentiles.p50 - directPercentiles.p50).toFixed(2)} ms at p50 (target 1.5) and ${(throughPercentiles.p99 - directPercentiles.p99).toFixed(2)} ms at p99 (target 8)`,
    );
    const full = await sendAndSampleMemory(url, options);
    const ok = full.samples.filter(({ code }) => code === 'ok').length;
    const rate = ok / (full.elapsedMs / MS_PER_SECOND);
    const fullPercentiles = firstTokenPercentiles(full.samples);
    print(
      formatLatency(
        `through the gateway at ${String(options.requestsPerSecond)}/s`,
        fullPercentiles,
        full.samples,
      ),
    );
    print(
      `served ${rate.toFixed(0)} streamed requests per second of ${String(OUTPUT_TOKENS)} tokens each (target 500)`,
    );
    print(
      `memory over the second half: last quarter / third quarter = ${memoryGrowth(full.memoryMb).toFixed(3)}; last ${full.memoryMb.at(-1)?.toFixed(0) ?? '-'} MB`,
    );
    const figures = {
      options,
      direct: directPercentiles,
      through: throughPercentiles,
      full: fullPercentiles,
      carriedPerSecond: rate,
      memoryMb: full.memoryMb,
    };
    if (options.json !== undefined)
      writeReport(options.json, JSON.stringify(figures, undefined, 2));
    const rows = [
      ...direct.map((s) => ['direct', s.firstTokenMs]),
      ...through.map((s) => ['gateway', s.firstTokenMs]),
    ];
    writeReport('out/relay-samples.jsonl', rows.map((row) => JSON.stringify(row)).join('\n'));
  } finally {
    await fleet.stop();
  }
}
