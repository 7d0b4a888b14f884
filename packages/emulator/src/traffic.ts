import type { Milliseconds } from '@poppypond/core';
import type {
  Scenario,
  Deployment,
  RequestKind,
  LognormalDistribution,
  WorkspaceShare,
} from './deployment.js';

/** A request that a caller sends at `atMs`. */
export interface Arrival {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly atMs: Milliseconds;
  readonly promptTokens: number;
  readonly events: number;
  readonly workspace: string;
}

const MS_PER_SECOND = 1000;
/** The request rate is constant within each interval of this length. */
const RATE_INTERVAL_MS: Milliseconds = 100;

function standardNormal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}

function sampleLognormal(
  { mean, sigma, most }: LognormalDistribution,
  random: () => number,
): number {
  const mu = Math.log(mean) - (sigma * sigma) / 2;
  return Math.min(most, Math.exp(mu + sigma * standardNormal(random)));
}

function requestRateAt(kind: RequestKind, scenario: Scenario, atMs: Milliseconds): number {
  const factors = scenario.bursts
    .filter(({ kinds, fromMs, toMs }) => kinds.includes(kind.name) && atMs >= fromMs && atMs < toMs)
    .map(({ factor }) => factor);
  return factors.reduce((rate, factor) => rate * factor, kind.requestsPerSecond);
}

const ONLY_WORKSPACE: WorkspaceShare = { name: 'wheat', share: 1 };

/** Draws a workspace; draws no random number if there is only one. */
function sampleWorkspace({ workspaces }: Deployment, random: () => number): string {
  if (!workspaces) return ONLY_WORKSPACE.name;
  let remaining = random();
  const found = workspaces.find(({ share }) => {
    remaining -= share;
    return remaining < 0;
  });
  return (found ?? workspaces[0] ?? ONLY_WORKSPACE).name;
}

function generateArrivalsOfKind(
  kind: RequestKind,
  deployment: Deployment,
  scenario: Scenario,
  random: () => number,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < scenario.durationMs) {
    const ratePerMs = requestRateAt(kind, scenario, atMs) / MS_PER_SECOND;
    const interarrivalMs =
      ratePerMs > 0 ? -Math.log(1 - random()) / ratePerMs : Number.POSITIVE_INFINITY;
    // The exponential distribution is memoryless, so a gap that exceeds its interval is sampled
    // again in the next one.
    const intervalEndMs = (Math.floor(atMs / RATE_INTERVAL_MS) + 1) * RATE_INTERVAL_MS;
    if (atMs + interarrivalMs >= intervalEndMs) {
      atMs = intervalEndMs;
      continue;
    }
    atMs += interarrivalMs;
    arrivals.push({
      requestId: `${kind.name}-${String(arrivals.length)}`,
      kind,
      atMs,
      promptTokens: Math.max(1, Math.round(sampleLognormal(kind.promptTokens, random))),
      events: Math.max(1, Math.round(sampleLognormal(kind.events, random))),
      workspace: sampleWorkspace(deployment, random),
    });
  }
  return arrivals;
}

/** Generates all requests of a scenario, in order of arrival. */
export function generateArrivals(
  deployment: Deployment,
  scenario: Scenario,
  random: () => number,
): readonly Arrival[] {
  return deployment.kinds
    .flatMap((kind) => generateArrivalsOfKind(kind, deployment, scenario, random))
    .sort((left, right) => left.atMs - right.atMs);
}
