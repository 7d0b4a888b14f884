import type { Milliseconds } from '@poppypond/core';
import type { DayPlan, Deployment, RequestKind, Spread } from './deployment.js';

/** A request that a caller is going to send. */
export interface Arrival {
  readonly requestId: string;
  readonly kind: RequestKind;
  readonly atMs: Milliseconds;
  readonly promptTokens: number;
  readonly events: number;
}

const MS_PER_SECOND = 1000;
/** Arrivals are drawn at the rate of each such span. */
const SPAN_MS: Milliseconds = 100;

function normal(draw: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - draw()));
  return radius * Math.cos(2 * Math.PI * draw());
}

function drawSpread({ mean, spread, most }: Spread, draw: () => number): number {
  const middle = Math.log(mean) - (spread * spread) / 2;
  return Math.min(most, Math.exp(middle + spread * normal(draw)));
}

function rateAt(kind: RequestKind, day: DayPlan, atMs: Milliseconds): number {
  const factors = day.bursts
    .filter(({ kinds, fromMs, toMs }) => kinds.includes(kind.name) && atMs >= fromMs && atMs < toMs)
    .map(({ factor }) => factor);
  return factors.reduce((rate, factor) => rate * factor, kind.requestsPerSecond);
}

function arrivalsOf(kind: RequestKind, day: DayPlan, draw: () => number): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < day.lengthMs) {
    const perMs = rateAt(kind, day, atMs) / MS_PER_SECOND;
    const gapMs = perMs > 0 ? -Math.log(1 - draw()) / perMs : Number.POSITIVE_INFINITY;
    // Exponential gaps have no memory, so a gap that leaves its span is drawn anew at the next.
    const spanEndMs = (Math.floor(atMs / SPAN_MS) + 1) * SPAN_MS;
    if (atMs + gapMs >= spanEndMs) {
      atMs = spanEndMs;
      continue;
    }
    atMs += gapMs;
    arrivals.push({
      requestId: `${kind.name}-${String(arrivals.length)}`,
      kind,
      atMs,
      promptTokens: Math.max(1, Math.round(drawSpread(kind.promptTokens, draw))),
      events: Math.max(1, Math.round(drawSpread(kind.events, draw))),
    });
  }
  return arrivals;
}

/** All requests of a day, in the order in which they come. */
export function drawArrivals(
  deployment: Deployment,
  day: DayPlan,
  draw: () => number,
): readonly Arrival[] {
  return deployment.kinds
    .flatMap((kind) => arrivalsOf(kind, day, draw))
    .sort((left, right) => left.atMs - right.atMs);
}
