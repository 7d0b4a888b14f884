import { seededRandom } from '@poppypond/load';
import { DEFAULT_PREDICTED_START, PredictedStartPlacement } from '@poppypond/policy';
import type { EngineState, PlacementJob } from '@poppypond/policy';
import { median, print } from './report.js';

const REPLICA_COUNTS = [20, 90, 360, 720];
const MEASURED_DECISIONS = 20_000;
const WARM_UP_DECISIONS = 5000;
const MICROSECONDS_PER_MS = 1000;
const TARGET_MICROSECONDS = 50;

function engines(count: number, random: () => number): readonly EngineState[] {
  return Array.from({ length: count }, (_, index) => {
    const prefill = Math.floor(random() * 40_000);
    return {
      id: `engine-${String(index)}`,
      zone: `zone-${String(index % 5)}`,
      kvTokens: 400_000,
      heldTokens: Math.floor(random() * 390_000),
      running: Math.floor(random() * 50),
      decoding: 0,
      prefillByPriority: [0, 0, 0, prefill / 2, 0, prefill / 2, 0, 0, 0, 0],
      prefillTokens: prefill,
      prefillTokensPerMs: 100,
      role: 'any',
      models: {},
      reportAgeMs: 100,
    };
  });
}

function makeJob(random: () => number): PlacementJob {
  const isLong = random() < 0.1;
  return {
    promptTokens: isLong ? 200_000 : 1500,
    outputTokens: 200,
    priority: isLong ? 3 : 7,
    lane: isLong ? 'long' : 'short',
    zone: 'zone-1',
    cachedTokens: (id) => (id.endsWith('7') ? 1024 : 0),
  };
}

/**
 * Returns the duration in microseconds of each decision over `replicas` replicas, without those of
 * the warm-up.
 */
export function timeDecisions(replicas: number): readonly number[] {
  const random = seededRandom(replicas);
  const states = engines(replicas, random);
  const split = { cutOffTokens: 10_000, shortShare: 0.3 };
  const placement = new PredictedStartPlacement(DEFAULT_PREDICTED_START, split);
  const times: number[] = [];
  for (let decision = 0; decision < MEASURED_DECISIONS + WARM_UP_DECISIONS; decision += 1) {
    const job = makeJob(random);
    const startedAt = performance.now();
    placement.choose(job, states, { next: random });
    const tookMicroseconds = (performance.now() - startedAt) * MICROSECONDS_PER_MS;
    if (decision >= WARM_UP_DECISIONS) times.push(tookMicroseconds);
  }
  return times;
}

/**
 * Prints the median and the 99th percentile of the duration of one decision for several numbers of
 * replicas.
 */
export function measureDecisionCost(): void {
  for (const replicas of REPLICA_COUNTS) {
    const times = [...timeDecisions(replicas)].sort((a, b) => a - b);
    const p99 = times[Math.floor(times.length * 0.99)] ?? 0;
    const verdict = median(times) <= TARGET_MICROSECONDS ? 'within' : 'over';
    print(
      `${String(replicas)} replicas: median ${median(times).toFixed(1)} us, p99 ${p99.toFixed(1)} us ` +
        `(${verdict} the target of ${String(TARGET_MICROSECONDS)} us)`,
    );
  }
}
