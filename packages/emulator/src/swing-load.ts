import type { Milliseconds } from '@poppypond/core';
import type { Deployment, RequestKind, Scenario } from './deployment.js';
import { generateAlternatingScenario } from './generate-scenario.js';

const ENGINES = 45;
const DURATION_MS: Milliseconds = 35_000;

const FIGURES = {
  slots: 8,
  memoryTokens: 382_500,
  stepsPerPass: 52,
  stepMs: 0.925,
  stepMsPerSequence: 0.001,
  stepMsPerThousandTokens: 0.002,
  prefillTokensPerMs: 256,
  prefillTokensPerStep: 2048,
  prefillMsPerMillionPairs: 0.14,
  usualAnswerTokens: 1300,
} as const;

const SHORT: RequestKind = {
  name: 'short',
  requestsPerSecond: 47,
  promptTokens: { mean: 5000, sigma: 0.6, most: 24_000 },
  events: { mean: 30, sigma: 0.6, most: 96 },
  aimMs: 313,
  gapAimMs: 250,
  timeoutMs: 10_000,
  inTimeValue: 1.3,
  lateValue: 0.33,
};
const MIDDLE: RequestKind = {
  name: 'middle',
  requestsPerSecond: 2,
  promptTokens: { mean: 40_000, sigma: 0.4, most: 110_000 },
  events: { mean: 23, sigma: 0.5, most: 58 },
  aimMs: 1500,
  gapAimMs: 500,
  timeoutMs: 10_000,
  inTimeValue: 3.5,
  lateValue: 0.9,
};
const LONG: RequestKind = {
  name: 'long',
  requestsPerSecond: 1.3,
  promptTokens: { mean: 300_000, sigma: 0.35, most: 900_000 },
  events: { mean: 16, sigma: 0.4, most: 48 },
  aimMs: 4000,
  gapAimMs: 1000,
  timeoutMs: 15_000,
  inTimeValue: 25,
  lateValue: 6.2,
};

/** Returns 45 engines whose mix of short and long prompts swings. */
export function swingingDeployment(): Deployment {
  return { name: 'swings', engines: ENGINES, figures: FIGURES, kinds: [SHORT, MIDDLE, LONG] };
}

/** Generates alternating phases of short and long prompts without a kill of the hosts. */
export function generateSwings(random: () => number): Scenario {
  return { ...generateAlternatingScenario(random), durationMs: DURATION_MS, restartsAtMs: [] };
}
