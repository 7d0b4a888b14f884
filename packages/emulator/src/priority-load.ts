import type { Milliseconds } from '@poppypond/core';
import type { Burst, Deployment, RequestKind, WorkspaceShare } from './deployment.js';

const ENGINES = 60;
const WORKSPACES = 24;
/** Each workspace sends this share of what the previous one sends, so that a few are large. */
const WORKSPACE_DECAY = 0.85;

/** Slower engines than those of the first users, so that the usual load takes half of their time. */
const FIGURES = {
  slots: 8,
  memoryTokens: 197_200,
  stepsPerPass: 46,
  stepMs: 1.2,
  stepMsPerSequence: 0.001,
  stepMsPerThousandTokens: 0.002,
  prefillTokensPerMs: 140,
  prefillTokensPerStep: 2048,
  prefillMsPerMillionPairs: 0.18,
  usualAnswerTokens: 1300,
} as const;

const URGENT: RequestKind = {
  name: 'urgent',
  priority: 0,
  requestsPerSecond: 52,
  promptTokens: { mean: 5000, sigma: 0.6, most: 24_000 },
  events: { mean: 28, sigma: 0.6, most: 96 },
  aimMs: 259,
  gapAimMs: 250,
  timeoutMs: 10_000,
  inTimeValue: 1.3,
  lateValue: 0.33,
};
const MIDDLE: RequestKind = {
  name: 'middle',
  priority: 1,
  requestsPerSecond: 6,
  promptTokens: { mean: 45_000, sigma: 0.4, most: 110_000 },
  events: { mean: 23, sigma: 0.5, most: 58 },
  aimMs: 1514,
  gapAimMs: 500,
  timeoutMs: 10_000,
  inTimeValue: 3.5,
  lateValue: 0.9,
};
/** The least urgent requests, which have the longest prompts and come in bursts. */
const LONG: RequestKind = {
  name: 'long',
  priority: 2,
  requestsPerSecond: 2.2,
  promptTokens: { mean: 190_000, sigma: 0.35, most: 500_000 },
  events: { mean: 19, sigma: 0.4, most: 48 },
  aimMs: 6024,
  gapAimMs: 1000,
  timeoutMs: 15_000,
  inTimeValue: 25,
  lateValue: 6.2,
};

function workspaceShares(): readonly WorkspaceShare[] {
  const weights = Array.from({ length: WORKSPACES }, (_unused, index) => WORKSPACE_DECAY ** index);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight, index) => ({
    name: `workspace-${String(index)}`,
    share: weight / total,
  }));
}

/** Returns 60 engines that requests of three priorities share, at `load` times the usual rates. */
export function priorityDeployment(load: number): Deployment {
  const kinds = [URGENT, MIDDLE, LONG].map((kind) => {
    return { ...kind, requestsPerSecond: kind.requestsPerSecond * load };
  });
  return {
    name: 'priorities',
    engines: ENGINES,
    figures: FIGURES,
    kinds,
    workspaces: workspaceShares(),
  };
}

/** A burst of the least urgent requests. */
export function longBurst(fromMs: Milliseconds, toMs: Milliseconds, factor: number): Burst {
  return { kinds: [LONG.name], fromMs, toMs, factor };
}

/** A burst of all requests. */
export function burstOfAll(fromMs: Milliseconds, toMs: Milliseconds, factor: number): Burst {
  return { kinds: [URGENT.name, MIDDLE.name, LONG.name], fromMs, toMs, factor };
}
