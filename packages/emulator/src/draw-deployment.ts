import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { engineIdOf } from './deployment.js';
import type { Burst, DayPlan, Deployment, EngineWord, RequestKind } from './deployment.js';

/** Uniform numbers in [0, 1). */
type Draw = () => number;

const DAY_MS: Milliseconds = 50_000;
/** Engines of a small and of a large deployment. */
const SMALL_ENGINES = 18;
const LARGE_ENGINES = 60;
/** Share of its engine time that a deployment's callers ask for on a usual second. */
const LEAST_LOAD = 0.4;
const MOST_LOAD = 0.6;
/** Kinds burst by turns and together. */
const BURSTS_A_DAY = 4;

function between(draw: Draw, least: number, most: number): number {
  return least + draw() * (most - least);
}

function drawFigures(draw: Draw): EngineFigures {
  return {
    slots: Math.round(between(draw, 8, 16)),
    memoryTokens: Math.round(between(draw, 300_000, 500_000)),
    stepsPerPass: Math.round(between(draw, 30, 48)),
    stepMs: between(draw, 0.9, 1.4),
    stepMsPerSequence: 0.001,
    stepMsPerThousandTokens: 0.002,
    prefillTokensPerMs: between(draw, 140, 260),
    prefillTokensPerStep: 2048,
    prefillMsPerMillionPairs: between(draw, 0.1, 0.18),
    usualAnswerTokens: 1300,
  };
}

/** Short, middle and long prompts with rates of one each; scaled afterwards to the wanted load. */
function drawKinds(draw: Draw): readonly RequestKind[] {
  const shortAimMs = between(draw, 200, 400);
  return [
    {
      name: 'short',
      requestsPerSecond: between(draw, 20, 36),
      promptTokens: { mean: between(draw, 1500, 6000), spread: 0.9, most: 24_000 },
      events: { mean: between(draw, 25, 40), spread: 0.7, most: 96 },
      aimMs: shortAimMs,
      gapAimMs: between(draw, 200, 300),
      limitMs: 10_000,
      worth: 1.3,
      lateWorth: 0.33,
    },
    {
      name: 'middle',
      requestsPerSecond: between(draw, 1, 2.5),
      promptTokens: { mean: between(draw, 30_000, 50_000), spread: 0.5, most: 110_000 },
      events: { mean: 23, spread: 0.6, most: 58 },
      aimMs: between(draw, 1000, 2000),
      gapAimMs: between(draw, 400, 700),
      limitMs: 10_000,
      worth: 3.5,
      lateWorth: 0.9,
    },
    {
      name: 'long',
      requestsPerSecond: between(draw, 0.4, 0.8),
      promptTokens: { mean: between(draw, 170_000, 260_000), spread: 0.5, most: 900_000 },
      events: { mean: 19, spread: 0.5, most: 48 },
      aimMs: between(draw, 3000, 4500),
      gapAimMs: between(draw, 800, 1200),
      limitMs: 15_000,
      worth: 25,
      lateWorth: 6.2,
    },
  ];
}

/** Engine time that one request takes, places shared by as many as may write at once. */
function engineMs(kind: RequestKind, figures: EngineFigures): Milliseconds {
  const { mean, spread } = kind.promptTokens;
  const pairs = (mean * mean * Math.exp(spread * spread)) / 2;
  const readMs =
    mean / figures.prefillTokensPerMs + (pairs / 1e6) * figures.prefillMsPerMillionPairs;
  const passMs = figures.stepsPerPass * figures.stepMs;
  return readMs + (kind.events.mean * passMs) / (figures.slots - 1);
}

/** A deployment with figures of its own, whose callers ask for 0.4 to 0.6 of its engine time. */
export function drawDeployment(name: string, isLarge: boolean, draw: Draw): Deployment {
  const engines = isLarge ? LARGE_ENGINES : SMALL_ENGINES;
  const figures = drawFigures(draw);
  const kinds = drawKinds(draw);
  const asked = kinds.reduce(
    (sum, kind) => sum + kind.requestsPerSecond * engineMs(kind, figures),
    0,
  );
  const wanted = between(draw, LEAST_LOAD, MOST_LOAD) * engines * 1000;
  return {
    name,
    engines,
    figures,
    kinds: kinds.map((kind) => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond * (wanted / asked),
    })),
  };
}

function drawBurst(deployment: Deployment, draw: Draw): Burst {
  const fromMs = between(draw, 0, DAY_MS);
  const chosen = deployment.kinds.filter(() => draw() < 0.5).map(({ name }) => name);
  const kinds = chosen.length > 0 ? chosen : deployment.kinds.map(({ name }) => name);
  return {
    kinds,
    fromMs,
    toMs: fromMs + between(draw, 3000, 10_000),
    factor: between(draw, 1.4, 2.5),
  };
}

/** Kinds that come by turns: how often each comes beside its usual rate, least and most. */
const TURNS: readonly Readonly<Record<string, readonly [number, number]>>[] = [
  { short: [2, 2.6], middle: [0.4, 0.7], long: [0.03, 0.2] },
  { short: [0.3, 0.5], middle: [1.1, 1.5], long: [2, 2.8] },
];
const TURNS_A_DAY = 3;
const TURN_MS: Milliseconds = 9500;
const BETWEEN_TURNS_MS: Milliseconds = 1500;

/** Bursts of mostly short and mostly long prompts by turns, with a usual second or two between. */
function drawTurns(draw: Draw): readonly Burst[] {
  const first = draw() < 0.5 ? 0 : 1;
  return Array.from({ length: TURNS_A_DAY }, (_unused, turn) => {
    const fromMs = BETWEEN_TURNS_MS + turn * (TURN_MS + BETWEEN_TURNS_MS);
    const factors = TURNS[(first + turn) % TURNS.length] ?? {};
    return Object.entries(factors).map(([kind, [least, most]]) => ({
      kinds: [kind],
      fromMs,
      toMs: fromMs + TURN_MS,
      factor: between(draw, least, most),
    }));
  }).flat();
}

/** A day on which short and long prompts come by turns, and all hosts are killed after the last. */
export function drawDayOfTurns(draw: Draw): DayPlan {
  const bursts = drawTurns(draw);
  const killAtMs = TURNS_A_DAY * (TURN_MS + BETWEEN_TURNS_MS) + BETWEEN_TURNS_MS;
  return { lengthMs: DAY_MS, bursts, restartsAtMs: [killAtMs], words: [] };
}

/** A day with bursts of some kinds or all, and one moment at which all hosts are killed. */
export function drawDay(deployment: Deployment, draw: Draw): DayPlan {
  const bursts = Array.from({ length: BURSTS_A_DAY }, () => drawBurst(deployment, draw));
  const killAtMs = between(draw, 0.5, 0.8) * DAY_MS;
  return { lengthMs: DAY_MS, bursts, restartsAtMs: [killAtMs], words: [] };
}

/** Shares of the engines that ask for rest and that leave, each once a day. */
const RESTING_SHARE = 0.25;
const LEAVING_SHARE = 0.1;

/** What engines say of themselves on a day: some want rest for 3 to 9 s, some leave for good. */
export function drawWords({ engines }: Deployment, draw: Draw): readonly EngineWord[] {
  const restsFromMs = between(draw, 0.1, 0.4) * DAY_MS;
  const restsToMs = restsFromMs + between(draw, 3000, 9000);
  return Array.from({ length: engines }, (_unused, index): readonly EngineWord[] => {
    const engineId = engineIdOf(index);
    const drawn = draw();
    if (drawn < RESTING_SHARE) {
      return [{ engineId, fromMs: restsFromMs, toMs: restsToMs, says: 'rests' }];
    }
    if (drawn > 1 - LEAVING_SHARE) {
      return [
        { engineId, fromMs: draw() * DAY_MS, toMs: Number.POSITIVE_INFINITY, says: 'leaves' },
      ];
    }
    return [];
  }).flat();
}
