import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { engineIdOf } from './deployment.js';
import type {
  Burst,
  Deployment,
  EngineFault,
  EngineNotice,
  RequestKind,
  Scenario,
  SlowPeriod,
} from './deployment.js';

/** Source of uniform random numbers in [0, 1). */
type RandomSource = () => number;

const SCENARIO_MS: Milliseconds = 50_000;
/** Number of engines of a small deployment; `LARGE_ENGINES` for a large one. */
const SMALL_ENGINES = 18;
const LARGE_ENGINES = 60;
/** Range of the usual load, as a share of the deployment's engine time. */
const MIN_LOAD = 0.4;
const MAX_LOAD = 0.6;
/** Each burst applies to a random subset of the kinds. */
const BURSTS_PER_SCENARIO = 4;

function uniformBetween(random: RandomSource, least: number, most: number): number {
  return least + random() * (most - least);
}

function generateEngineFigures(random: RandomSource): EngineFigures {
  return {
    slots: Math.round(uniformBetween(random, 8, 16)),
    memoryTokens: Math.round(uniformBetween(random, 300_000, 500_000)),
    stepsPerPass: Math.round(uniformBetween(random, 30, 48)),
    stepMs: uniformBetween(random, 0.9, 1.4),
    stepMsPerSequence: 0.001,
    stepMsPerThousandTokens: 0.002,
    prefillTokensPerMs: uniformBetween(random, 140, 260),
    prefillTokensPerStep: 2048,
    prefillMsPerMillionPairs: uniformBetween(random, 0.1, 0.18),
    usualAnswerTokens: 1300,
  };
}

/**
 * Generates short, middle and long kinds with relative rates, which are later scaled to the wanted
 * load.
 */
function generateRequestKinds(random: RandomSource): readonly RequestKind[] {
  const shortAimMs = uniformBetween(random, 200, 400);
  return [
    {
      name: 'short',
      requestsPerSecond: uniformBetween(random, 20, 36),
      promptTokens: { mean: uniformBetween(random, 1500, 6000), sigma: 0.9, most: 24_000 },
      events: { mean: uniformBetween(random, 25, 40), sigma: 0.7, most: 96 },
      aimMs: shortAimMs,
      gapAimMs: uniformBetween(random, 200, 300),
      timeoutMs: 10_000,
      inTimeValue: 1.3,
      lateValue: 0.33,
    },
    {
      name: 'middle',
      requestsPerSecond: uniformBetween(random, 1, 2.5),
      promptTokens: { mean: uniformBetween(random, 30_000, 50_000), sigma: 0.5, most: 110_000 },
      events: { mean: 23, sigma: 0.6, most: 58 },
      aimMs: uniformBetween(random, 1000, 2000),
      gapAimMs: uniformBetween(random, 400, 700),
      timeoutMs: 10_000,
      inTimeValue: 3.5,
      lateValue: 0.9,
    },
    {
      name: 'long',
      requestsPerSecond: uniformBetween(random, 0.4, 0.8),
      promptTokens: { mean: uniformBetween(random, 170_000, 260_000), sigma: 0.5, most: 900_000 },
      events: { mean: 19, sigma: 0.5, most: 48 },
      aimMs: uniformBetween(random, 3000, 4500),
      gapAimMs: uniformBetween(random, 800, 1200),
      timeoutMs: 15_000,
      inTimeValue: 25,
      lateValue: 6.2,
    },
  ];
}

/**
 * Returns the engine time of one mean request. The time of a decode pass is shared by `slots - 1`
 * requests.
 */
function engineTimeMs(kind: RequestKind, figures: EngineFigures): Milliseconds {
  const { mean, sigma } = kind.promptTokens;
  const pairs = (mean * mean * Math.exp(sigma * sigma)) / 2;
  const prefillMs =
    mean / figures.prefillTokensPerMs + (pairs / 1e6) * figures.prefillMsPerMillionPairs;
  const passMs = figures.stepsPerPass * figures.stepMs;
  return prefillMs + (kind.events.mean * passMs) / (figures.slots - 1);
}

/**
 * Generates a deployment with random engine figures, whose callers need 0.4 to 0.6 of its engine
 * time.
 */
export function generateDeployment(
  name: string,
  isLarge: boolean,
  random: RandomSource,
): Deployment {
  const engines = isLarge ? LARGE_ENGINES : SMALL_ENGINES;
  const figures = generateEngineFigures(random);
  const kinds = generateRequestKinds(random);
  const requestedMs = kinds.reduce(
    (sum, kind) => sum + kind.requestsPerSecond * engineTimeMs(kind, figures),
    0,
  );
  const wanted = uniformBetween(random, MIN_LOAD, MAX_LOAD) * engines * 1000;
  return {
    name,
    engines,
    figures,
    kinds: kinds.map((kind) => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond * (wanted / requestedMs),
    })),
  };
}

function generateBurst(deployment: Deployment, random: RandomSource): Burst {
  const fromMs = uniformBetween(random, 0, SCENARIO_MS);
  const burstKinds = deployment.kinds.filter(() => random() < 0.5).map(({ name }) => name);
  const kinds = burstKinds.length > 0 ? burstKinds : deployment.kinds.map(({ name }) => name);
  return {
    kinds,
    fromMs,
    toMs: fromMs + uniformBetween(random, 3000, 10_000),
    factor: uniformBetween(random, 1.4, 2.5),
  };
}

/** Alternating phases: the range of the factor on the usual rate of each kind. */
const PHASES: readonly Readonly<Record<string, readonly [number, number]>>[] = [
  { short: [2, 2.6], middle: [0.4, 0.7], long: [0.03, 0.2] },
  { short: [0.3, 0.5], middle: [1.1, 1.5], long: [2, 2.8] },
];
const PHASES_PER_SCENARIO = 3;
const PHASE_MS: Milliseconds = 9500;
const PHASE_GAP_MS: Milliseconds = 1500;

/**
 * Generates alternating phases of mostly short and mostly long prompts, with 1.5 s of usual traffic
 * between them.
 */
function generateAlternatingBursts(random: RandomSource): readonly Burst[] {
  const firstPhase = random() < 0.5 ? 0 : 1;
  return Array.from({ length: PHASES_PER_SCENARIO }, (_unused, phase) => {
    const fromMs = PHASE_GAP_MS + phase * (PHASE_MS + PHASE_GAP_MS);
    const factors = PHASES[(firstPhase + phase) % PHASES.length] ?? {};
    return Object.entries(factors).map(([kind, [least, most]]) => ({
      kinds: [kind],
      fromMs,
      toMs: fromMs + PHASE_MS,
      factor: uniformBetween(random, least, most),
    }));
  }).flat();
}

/**
 * Generates a scenario of alternating short and long phases, with a kill of all hosts 1.5 s after
 * the last one.
 */
export function generateAlternatingScenario(random: RandomSource): Scenario {
  const bursts = generateAlternatingBursts(random);
  const killAtMs = PHASES_PER_SCENARIO * (PHASE_MS + PHASE_GAP_MS) + PHASE_GAP_MS;
  return { durationMs: SCENARIO_MS, bursts, restartsAtMs: [killAtMs], notices: [] };
}

/** Generates a scenario with bursts of some or all kinds and one kill of all hosts. */
export function generateScenario(deployment: Deployment, random: RandomSource): Scenario {
  const bursts = Array.from({ length: BURSTS_PER_SCENARIO }, () =>
    generateBurst(deployment, random),
  );
  const killAtMs = uniformBetween(random, 0.5, 0.8) * SCENARIO_MS;
  return { durationMs: SCENARIO_MS, bursts, restartsAtMs: [killAtMs], notices: [] };
}

/** As observed: 16 of 100 servers become 5 times slower for 6.5 s. */
const SLOW_SHARE = 0.16;
const SLOW_FACTOR = 5;
const SLOW_MS: Milliseconds = 6500;
const SLOW_FROM_MS: readonly Milliseconds[] = [8000, 24_000, 38_000];

/** Generates three periods in each of which some engines are slow. */
export function generateSlowPeriods(
  { engines }: Deployment,
  random: RandomSource,
): readonly SlowPeriod[] {
  return SLOW_FROM_MS.flatMap((fromMs) =>
    Array.from({ length: engines }, (_unused, index) => engineIdOf(index))
      .filter(() => random() < SLOW_SHARE)
      .map((engineId) => ({ engineId, fromMs, toMs: fromMs + SLOW_MS, factor: SLOW_FACTOR })),
  );
}

/** Shares of the engines that ask for backoff and that leave, each once in a scenario. */
const BACKOFF_SHARE = 0.25;
const LEAVING_SHARE = 0.1;

/**
 * Generates the notices of a scenario: some engines ask for backoff for 3 to 9 s, some leave
 * permanently.
 */
export function generateNotices(
  { engines }: Deployment,
  random: RandomSource,
): readonly EngineNotice[] {
  const backoffFromMs = uniformBetween(random, 0.1, 0.4) * SCENARIO_MS;
  const backoffToMs = backoffFromMs + uniformBetween(random, 3000, 9000);
  return Array.from({ length: engines }, (_unused, index): readonly EngineNotice[] => {
    const engineId = engineIdOf(index);
    const sample = random();
    if (sample < BACKOFF_SHARE) {
      return [{ engineId, fromMs: backoffFromMs, toMs: backoffToMs, kind: 'rests' }];
    }
    if (sample > 1 - LEAVING_SHARE) {
      return [
        {
          engineId,
          fromMs: random() * SCENARIO_MS,
          toMs: Number.POSITIVE_INFINITY,
          kind: 'leaves',
        },
      ];
    }
    return [];
  }).flat();
}

/** Share of the engines that have a fault, and times and duration of the faults, as observed. */
const FAULTY_SHARE = 0.14;
const FAULTS_AT_SHARE: readonly number[] = [0.08, 0.32, 0.56, 0.8];
const FAULT_MS: Milliseconds = 6500;

/** Generates periods in which some engines, others in each period, have a fault of the given kind. */
export function generateFaults(
  { engines }: Deployment,
  kind: EngineFault['kind'],
  random: RandomSource,
): readonly EngineFault[] {
  return FAULTS_AT_SHARE.flatMap((share) => {
    const fromMs = share * SCENARIO_MS;
    return Array.from({ length: engines }, (_unused, index) => engineIdOf(index))
      .filter(() => random() < FAULTY_SHARE)
      .map((engineId) => ({ engineId, fromMs, toMs: fromMs + FAULT_MS, kind }));
  });
}
