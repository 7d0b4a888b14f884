import type { Milliseconds } from '@poppypond/core';
import { answerValue } from './deployment.js';
import type { Arrival } from './traffic.js';

/**
 * How a request ended for its caller. `late_start` and `late_pause` were served, but not in time;
 * `left` was given up by its caller for silence or lack of time; `refused` was told so.
 */
export type OutcomeKind = 'in_time' | 'late_start' | 'late_pause' | 'left' | 'refused' | 'open';

/** How one request ended. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly kind: OutcomeKind;
  /** From the first try to the first event; undefined where there was none. */
  readonly firstEventMs: Milliseconds | undefined;
  /** Time for which it was held and never sent to an engine; 0 where it was. */
  readonly queuedMs: Milliseconds;
}

/** What a day earned of what it owed. */
export interface ScenarioResult {
  readonly earnedValue: number;
  readonly maxValue: number;
  /** Share of worth that was earned, by second of arrival, of the worst tenth of seconds. */
  readonly worstSeconds: number;
  readonly byKind: ReadonlyMap<string, ReadonlyMap<OutcomeKind, number>>;
}

const MS_PER_SECOND = 1000;
const WORST_SHARE = 0.1;

interface ValueTotals {
  readonly earnedValue: number;
  readonly maxValue: number;
}

/** A wait that ends unserved costs more the longer it lasted, up to the whole worth. */
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

/** Adds the outcomes of a day up. */
export function summarizeOutcomes(outcomes: readonly Outcome[]): ScenarioResult {
  const byKind = new Map<string, Map<OutcomeKind, number>>();
  for (const { arrival, kind } of outcomes) {
    const counts = byKind.get(arrival.kind.name) ?? new Map<OutcomeKind, number>();
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    byKind.set(arrival.kind.name, counts);
  }
  return { ...totalValues(outcomes), worstSeconds: worstSeconds(outcomes), byKind };
}
