import { Fleet } from '@poppypond/launch';
import { callStream, makePrompt, SAMPLE_MODEL, sampleKey } from '@poppypond/load';
import type { SampleObject } from '@poppypond/load';
import { Configuration, parseObjects } from '@poppypond/objects';
import { fitSlope, measureSlope } from './capacity/slope.js';
import type { Slope } from './capacity/slope.js';
import { idleFor, measureGatewayUsage } from './capacity/gateway-usage.js';
import type { GatewayUsage } from './capacity/gateway-usage.js';
import { LightEngines } from './capacity/light-engines.js';
import { LightPeers } from './capacity/light-peers.js';
import { renderSlopeChart } from './capacity/slope-chart.js';
import { timeDecisions } from './decision-cost.js';
import { median, print, writeReport } from './report.js';

const SETTLE_MS = 3000;
const MEASURE_MS = 6000;
const ENGINE_COUNTS = [8, 32, 64, 128];
const PEER_COUNTS = [2, 6, 12, 24];
const RATES = [50, 100, 200, 300];
const TOKEN_COUNTS = [8, 32, 64, 128];
const STREAM_COUNTS = [50, 150, 300, 600];
const OBJECT_COUNTS = [250, 500, 1000, 2000];
const REPLICA_COUNTS = [90, 180, 360, 720];
const MS_PER_SECOND = 1000;
const TOKEN_TEST_RATE = 100;
const ADVANCE_RUNS = 200;
const FAST_ENGINE = { 'step-base-ms': 2, 'prefill-ms': 0.001, 'decode-ms': 0, 'max-running': 2000 };
const FAST_GATEWAY = { 'prefill-tokens-per-ms': 500, 'decode-step-ms': 3 };

/** Measures the resources that an idle gateway uses while it watches `count` engines. */
async function measureWithEngines(count: number): Promise<GatewayUsage> {
  const lightEngines = new LightEngines();
  await lightEngines.start(count);
  const objects = lightEngines.servers.map((server, index): SampleObject => ({
    kind: 'backend-server',
    name: `light-${String(index)}`,
    labels: { fleet: 'assistant', kind: 'engine' },
    spec: { kind: 'engine', url: server.url, zone: 'regina-a' },
  }));
  const gatewayFlags = { 'max-engines-watched': 1000 };
  const fleet = await Fleet.start({ gateways: 1, engines: 0, services: 0, gatewayFlags, objects });
  try {
    await idleFor(SETTLE_MS)();
    return await measureGatewayUsage(fleet.gateways[0]?.url ?? '', idleFor(MEASURE_MS));
  } finally {
    await fleet.stop();
    await lightEngines.stop();
  }
}

/** Measures the resources that an idle gateway uses with links to `count` peers. */
async function measureWithPeers(count: number): Promise<GatewayUsage> {
  const gatewayFlags = { 'fan-out': 100 };
  const fleet = await Fleet.start({ gateways: 1, engines: 0, services: 0, gatewayFlags });
  const gateway = fleet.gateways[0];
  const lightPeers = new LightPeers();
  try {
    await lightPeers.start(count, gateway?.listening.get('peers') ?? '', 2);
    await idleFor(SETTLE_MS)();
    return await measureGatewayUsage(gateway?.url ?? '', idleFor(MEASURE_MS));
  } finally {
    await lightPeers.stop();
    await fleet.stop();
  }
}

async function sendAtRate(url: string, rate: number, tokens: number): Promise<void> {
  const count = Math.floor((rate * MEASURE_MS) / MS_PER_SECOND);
  await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      await idleFor((index / rate) * MS_PER_SECOND)();
      const prompt = makePrompt(
        `capacity ${String(rate)} ${String(tokens)} ${String(index)} `,
        1000,
      );
      const call = { url, key: sampleKey('members'), model: SAMPLE_MODEL, prompt };
      await callStream({ ...call, maxTokens: tokens });
    }),
  );
}

/**
 * Measures the processor use of one gateway, in percent of a core, by request rate and by answer
 * length.
 */
async function measureRequestSlopes(): Promise<readonly Slope[]> {
  const fleet = await Fleet.start({
    gateways: 1,
    engines: 4,
    services: 0,
    engineFlags: FAST_ENGINE,
    gatewayFlags: FAST_GATEWAY,
  });
  const url = fleet.gateways[0]?.url ?? '';
  try {
    await sendAtRate(url, TOKEN_TEST_RATE, 8);
    const corePercentAt = async (rate: number, tokens: number) => {
      const usage = await measureGatewayUsage(url, () => sendAtRate(url, rate, tokens));
      return usage.corePercent;
    };
    return [
      await measureSlope(
        'processor by requests (8 tokens each)',
        'request a second',
        '% of a core',
        RATES,
        (rate) => corePercentAt(rate, 8),
      ),
      await measureSlope(
        'processor by answer length (100 requests a second)',
        'token in each answer',
        '% of a core',
        TOKEN_COUNTS,
        (tokens) => corePercentAt(TOKEN_TEST_RATE, tokens),
      ),
    ];
  } finally {
    await fleet.stop();
  }
}

/** Measures the resident memory of one gateway by number of streams that are open at once. */
async function measureStreamSlope(): Promise<Slope> {
  const fleet = await Fleet.start({
    gateways: 1,
    engines: 4,
    services: 0,
    engineFlags: { ...FAST_ENGINE, 'step-base-ms': 100, 'kv-tokens': 4_000_000 },
    gatewayFlags: { ...FAST_GATEWAY, 'decode-step-ms': 100 },
  });
  const url = fleet.gateways[0]?.url ?? '';
  try {
    return await measureSlope(
      'memory by open streams (1,000 prompt tokens)',
      'open stream',
      'MB',
      STREAM_COUNTS,
      async (count) => {
        const abort = new AbortController();
        const openStreams = Array.from({ length: count }, (_, index) => {
          const prompt = makePrompt(`open ${String(count)} ${String(index)} `, 1000);
          const call = {
            url,
            key: sampleKey('members'),
            model: SAMPLE_MODEL,
            prompt,
            maxTokens: 400,
          };
          return callStream({ ...call, timeLimitMs: 100_000, signal: abort.signal });
        });
        await idleFor(SETTLE_MS)();
        const usage = await measureGatewayUsage(url, idleFor(MS_PER_SECOND));
        abort.abort();
        await Promise.all(openStreams);
        return usage.rssMb;
      },
    );
  } finally {
    await fleet.stop();
  }
}

function sampleConfiguration(count: number): Configuration {
  const values = Array.from({ length: count }, (_, index) => ({
    kind: 'key',
    name: `key-${String(index)}`,
    spec: { sha256: index.toString(16).padStart(64, '0'), workspace: 'w', user: 'u' },
  }));
  const parsed = parseObjects(values);
  const objects = parsed.isOk ? parsed.value : [];
  return Configuration.empty.advance(
    objects.map((after, index) => ({ id: `key/${after.name}`, revision: index + 1, after })),
  );
}

/**
 * Returns the median time in milliseconds for which one change blocks a gateway's event loop, with
 * a configuration of `count` objects.
 */
function medianChangeMs(count: number): number {
  const configuration = sampleConfiguration(count);
  const stored = configuration.objects.get('key/key-1');
  if (!stored) return Number.NaN;
  const times = Array.from({ length: ADVANCE_RUNS }, () => {
    const startedAt = performance.now();
    configuration.advance([{ id: 'key/key-1', revision: count + 1, after: stored.object }]);
    return performance.now() - startedAt;
  });
  return median(times);
}

async function measureEngineSlopes(): Promise<readonly Slope[]> {
  const usageByCount = new Map<number, GatewayUsage>();
  for (const count of ENGINE_COUNTS) usageByCount.set(count, await measureWithEngines(count));
  const points = (value: (usage: GatewayUsage) => number) =>
    [...usageByCount].map(([size, usage]) => ({ size, value: value(usage) }));
  return [
    fitSlope(
      'processor by engines watched (10 reports a second each)',
      'engine',
      '% of a core',
      points(({ corePercent }) => corePercent),
    ),
    fitSlope(
      'memory by engines watched',
      'engine',
      'MB',
      points(({ rssMb }) => rssMb),
    ),
    fitSlope(
      'table and object store reads by engines watched',
      'engine',
      'reads/s',
      points(({ readsPerSecond }) => readsPerSecond),
    ),
  ];
}

async function measurePeerSlopes(): Promise<readonly Slope[]> {
  const usageByCount = new Map<number, GatewayUsage>();
  for (const count of PEER_COUNTS) usageByCount.set(count, await measureWithPeers(count));
  const points = (value: (usage: GatewayUsage) => number) =>
    [...usageByCount].map(([size, usage]) => ({ size, value: value(usage) }));
  return [
    fitSlope(
      'processor by peer links',
      'link',
      '% of a core',
      points(({ corePercent }) => corePercent),
    ),
    fitSlope(
      'peer bytes by peer links (both ways)',
      'link',
      'bytes/s',
      points(({ peerBytesPerSecond }) => peerBytesPerSecond),
    ),
  ];
}

/** Measures all slopes that docs/CAPACITY.md uses. */
export async function measureCapacity(options: {
  readonly json: string | undefined;
}): Promise<void> {
  const slopes: Slope[] = [
    await measureSlope('one placement decision', 'replica', 'us', REPLICA_COUNTS, (count) =>
      median(timeDecisions(count)),
    ),
    await measureSlope('one configuration change', 'object', 'ms', OBJECT_COUNTS, medianChangeMs),
    ...(await measureEngineSlopes()),
    ...(await measurePeerSlopes()),
    ...(await measureRequestSlopes()),
    await measureStreamSlope(),
  ];
  writeReport('out/capacity.svg', renderSlopeChart(slopes));
  if (options.json !== undefined) writeReport(options.json, JSON.stringify(slopes, undefined, 2));
  print(`${String(slopes.length)} slopes measured; plot in out/capacity.svg`);
}
