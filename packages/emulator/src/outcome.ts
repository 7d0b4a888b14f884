import type { Milliseconds } from '@poppypond/core';
import { answerValue } from './deployment.js';
import type { Arrival } from './traffic.js';

/**
 * How a request ended for its caller. `late_start` and `late_pause`: served, but the first event or
 * a gap between events missed its target. `left`: the caller gave up because of silence or its
 * timeout. `refused`: the caller was told so. `open`: not ended when the simulation stopped.
 */
export type OutcomeKind = 'in_time' | 'late_start' | 'late_pause' | 'left' | 'refused' | 'open';

/** Result of one request. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly kind: OutcomeKind;
  /** Time from the first try to the first event; undefined if there is none. */
  readonly firstEventMs: Milliseconds | undefined;
  /** Time for which the request waited without being sent to an engine; 0 if it was sent. */
  readonly queuedMs: Milliseconds;
  /** Number of times that its caller was refused. */
  readonly refusals: number;
}

/**
 * Summary of a simulation: the value that its answers earned, and the value if all were in time.
 */
export interface ScenarioResult {
  readonly earnedValue: number;
  readonly maxValue: number;
  /** Mean share of the value that was earned, over the worst tenth of the seconds by arrival. */
  readonly worstSeconds: number;
  readonly byKind: ReadonlyMap<string, ReadonlyMap<OutcomeKind, number>>;
}

const MS_PER_SECOND = 1000;
const WORST_SHARE = 0.1;

interface ValueTotals {
  readonly earnedValue: number;
  readonly maxValue: number;
}

/**
 * Returns the earned value. A request that waits in vain costs more the longer it waited, up to its
 * full value.
 */
function earnedValueOf({ arrival, kind, queuedMs }: Outcome): number {
  if (kind === 'in_time') return answerValue(arrival.kind, arrival.promptTokens, true);
  const isLate = kind === 'late_start' || kind === 'late_pause';
  if (isLate) return answerValue(arrival.kind, arrival.promptTokens, false);
  const queuedShare = Math.min(1, queuedMs / arrival.kind.timeoutMs);
  return -queuedShare * answerValue(arrival.kind, arrival.promptTokens, true);
}

function totalValues(outcomes: readonly Outcome[]): ValueTotals {
  let earnedValue = 0;
  let maxValue = 0;
  for (const outcome of outcomes) {
    earnedValue += earnedValueOf(outcome);
    maxValue += answerValue(outcome.arrival.kind, outcome.arrival.promptTokens, true);
  }
  return { earnedValue, maxValue };
}

function worstSeconds(outcomes: readonly Outcome[]): number {
  const seconds = new Map<number, Outcome[]>();
  for (const outcome of outcomes) {
    const second = Math.floor(outcome.arrival.atMs / MS_PER_SECOND);
    seconds.set(second, [...(seconds.get(second) ?? []), outcome]);
  }
  const shares = [...seconds.values()]
    .map(totalValues)
    .map(({ earnedValue, maxValue }) => earnedValue / maxValue)
    .sort((left, right) => left - right);
  const worst = shares.slice(0, Math.ceil(shares.length * WORST_SHARE));
  return worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
}

/** Summarizes the outcomes of a simulation. */
export function summarizeOutcomes(outcomes: readonly Outcome[]): ScenarioResult {
  const byKind = new Map<string, Map<OutcomeKind, number>>();
  for (const { arrival, kind } of outcomes) {
    const counts = byKind.get(arrival.kind.name) ?? new Map<OutcomeKind, number>();
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    byKind.set(arrival.kind.name, counts);
  }
  return { ...totalValues(outcomes), worstSeconds: worstSeconds(outcomes), byKind };
}
