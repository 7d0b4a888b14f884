import { Fleet, getJson } from '@poppypond/launch';
import { callStream, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import { z } from 'zod';
import { print } from './report.js';

/** Options of the limits measurement. */
export interface LimitsOptions {
  readonly gateways: number;
  readonly durationMs: number;
}

const UNITS_PER_SECOND = 20_000;
const BURST_UNITS = 40_000;
const PROMPT_TOKENS = 900;
const MAX_TOKENS = 4;
/** Cost of one request: its prompt tokens plus five times its output tokens. */
const UNITS_PER_REQUEST = PROMPT_TOKENS + 5 * MAX_TOKENS;
const OFFERED_FACTOR = 3;
const MS_PER_SECOND = 1000;
const REBALANCE_MS = 3000;

const tableSchema = z.object({ reads: z.number(), writes: z.number() });

interface OfferedRequest {
  readonly atMs: number;
  readonly isOk: boolean;
}

/** Sends requests at three times the limit, to the gateways at `urls` in turn. */
async function offerLoad(
  urls: readonly string[],
  durationMs: number,
): Promise<readonly OfferedRequest[]> {
  const rate = (UNITS_PER_SECOND / UNITS_PER_REQUEST) * OFFERED_FACTOR;
  const count = Math.floor((rate * durationMs) / MS_PER_SECOND);
  const startedAt = performance.now();
  const sending = Array.from(
    { length: count },
    (_, index) =>
      new Promise<OfferedRequest>((resolve) => {
        const atMs = (index / rate) * MS_PER_SECOND;
        setTimeout(() => {
          const prompt = makePrompt(`limit ${String(startedAt)} ${String(index)} `, PROMPT_TOKENS);
          const url = urls[index % urls.length] ?? '';
          const key = sampleKey('audit');
          const call = { url, key, model: SAMPLE_MODEL, prompt, maxTokens: MAX_TOKENS };
          void callStream(call).then(({ code }) => {
            resolve({ atMs, isOk: code === 'ok' });
          });
        }, atMs);
      }),
  );
  return Promise.all(sending);
}

function spentUnitsPerSecond(
  sent: readonly OfferedRequest[],
  fromMs: number,
  toMs: number,
): number {
  const ok = sent.filter(({ atMs, isOk }) => isOk && atMs >= fromMs && atMs < toMs).length;
  return (ok * UNITS_PER_REQUEST * MS_PER_SECOND) / (toMs - fromMs);
}

/**
 * Measures the share of a limit that can be used when one host receives all traffic of a workspace.
 */
export async function measureLimits(options: LimitsOptions): Promise<void> {
  const budget = { unitsPerSecond: UNITS_PER_SECOND, burstUnits: BURST_UNITS };
  const fleet = await Fleet.start({
    gateways: options.gateways,
    engines: 4,
    services: 0,
    engineFlags: { 'step-base-ms': 1, 'prefill-ms': 0.001 },
    gatewayFlags: { 'prefill-tokens-per-ms': 500, 'decode-step-ms': 2 },
    objects: [
      { kind: 'workspace', name: 'audit', labels: { team: 'assistant' }, spec: { budget } },
    ],
  });
  try {
    const urls = fleet.gateways.map((gateway) => gateway.url);
    const evenlySent = await offerLoad(urls, options.durationMs);
    const evenRate = spentUnitsPerSecond(evenlySent, REBALANCE_MS, options.durationMs);
    print(
      `requests to all ${String(urls.length)} hosts: ${(evenRate / UNITS_PER_SECOND).toFixed(3)} of the limit used`,
    );
    const totalUnits =
      spentUnitsPerSecond(evenlySent, 0, options.durationMs) * (options.durationMs / MS_PER_SECOND);
    const most = BURST_UNITS + (UNITS_PER_SECOND * options.durationMs) / MS_PER_SECOND;
    print(
      `spent ${totalUnits.toFixed(0)} units from the start, at most ${most.toFixed(0)} allowed: ${totalUnits <= most ? 'held' : 'BROKEN'}`,
    );
    const before = tableSchema.parse(await getJson(`${fleet.platform.url}/truth`));
    const sentToOneHost = await offerLoad(urls.slice(-1), options.durationMs);
    const after = tableSchema.parse(await getJson(`${fleet.platform.url}/truth`));
    const earlyRate = spentUnitsPerSecond(sentToOneHost, 0, REBALANCE_MS);
    const oneHostRate = spentUnitsPerSecond(sentToOneHost, REBALANCE_MS, options.durationMs);
    print(
      `all requests to one host: ${(oneHostRate / UNITS_PER_SECOND).toFixed(3)} of the limit used (target 0.9); ${(earlyRate / UNITS_PER_SECOND).toFixed(3)} in the first ${String(REBALANCE_MS)} ms`,
    );
    const writes = (after.writes - before.writes) / (options.durationMs / MS_PER_SECOND);
    print(`the platform received ${writes.toFixed(1)} writes per second in this phase`);
  } finally {
    await fleet.stop();
  }
}
