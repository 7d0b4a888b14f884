import { seededRandom } from '@poppypond/load';
import { DEFAULT_PREDICTED_START, PredictedStartPlacement } from '@poppypond/policy';
import type { EngineState, PlacementJob } from '@poppypond/policy';
import { median, print } from './report.js';

const REPLICAS = [20, 90, 360, 720];
const DECISIONS = 20_000;
const WARM_UP = 5000;
const MICROSECONDS = 1000;
const TARGET_MICROSECONDS = 50;

function engines(count: number, next: () => number): readonly EngineState[] {
  return Array.from({ length: count }, (_, index) => {
    const prefill = Math.floor(next() * 40_000);
    return {
      id: `engine-${String(index)}`,
      zone: `zone-${String(index % 5)}`,
      kvTokens: 400_000,
      heldTokens: Math.floor(next() * 390_000),
      running: Math.floor(next() * 50),
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

function job(next: () => number): PlacementJob {
  const isLong = next() < 0.1;
  return {
    promptTokens: isLong ? 200_000 : 1500,
    outputTokens: 200,
    priority: isLong ? 3 : 7,
    lane: isLong ? 'long' : 'short',
    zone: 'zone-1',
    cachedTokens: (id) => (id.endsWith('7') ? 1024 : 0),
  };
}

/** Microseconds of each decision over this many replicas. */
export function timeDecisions(replicas: number): readonly number[] {
  const next = seededRandom(replicas);
  const states = engines(replicas, next);
  const split = { cutOffTokens: 10_000, shortShare: 0.3 };
  const placement = new PredictedStartPlacement(DEFAULT_PREDICTED_START, split);
  const times: number[] = [];
  for (let decision = 0; decision < DECISIONS + WARM_UP; decision += 1) {
    const asked = job(next);
    const startedAt = performance.now();
    placement.choose(asked, states, { next });
    const took = (performance.now() - startedAt) * MICROSECONDS;
    if (decision >= WARM_UP) times.push(took);
  }
  return times;
}

/** Prints what one decision costs at several sizes. */
export function measureDecisionCost(): void {
  for (const replicas of REPLICAS) {
    const times = [...timeDecisions(replicas)].sort((a, b) => a - b);
    const p99 = times[Math.floor(times.length * 0.99)] ?? 0;
    const verdict = median(times) <= TARGET_MICROSECONDS ? 'within' : 'over';
    print(
      `${String(replicas)} replicas: median ${median(times).toFixed(1)} us, p99 ${p99.toFixed(1)} us ` +
        `(${verdict} the target of ${String(TARGET_MICROSECONDS)} us)`,
    );
  }
}
