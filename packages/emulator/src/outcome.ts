import type { Milliseconds } from '@poppypond/core';
import { worthOf } from './deployment.js';
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
  readonly heldMs: Milliseconds;
}

/** What a day earned of what it owed. */
export interface DayResult {
  readonly earned: number;
  readonly owed: number;
  /** Share of worth that was earned, by second of arrival, of the worst tenth of seconds. */
  readonly worstSeconds: number;
  readonly byKind: ReadonlyMap<string, ReadonlyMap<OutcomeKind, number>>;
}

const MS_PER_SECOND = 1000;
const WORST_SHARE = 0.1;

interface Sum {
  readonly earned: number;
  readonly owed: number;
}

/** A wait that ends unserved costs more the longer it lasted, up to the whole worth. */
function earnedBy({ arrival, kind, heldMs }: Outcome): number {
  if (kind === 'in_time') return worthOf(arrival.kind, arrival.promptTokens, true);
  const isLate = kind === 'late_start' || kind === 'late_pause';
  if (isLate) return worthOf(arrival.kind, arrival.promptTokens, false);
  const heldShare = Math.min(1, heldMs / arrival.kind.limitMs);
  return -heldShare * worthOf(arrival.kind, arrival.promptTokens, true);
}

function sumOf(outcomes: readonly Outcome[]): Sum {
  let earned = 0;
  let owed = 0;
  for (const outcome of outcomes) {
    earned += earnedBy(outcome);
    owed += worthOf(outcome.arrival.kind, outcome.arrival.promptTokens, true);
  }
  return { earned, owed };
}

function worstSeconds(outcomes: readonly Outcome[]): number {
  const seconds = new Map<number, Outcome[]>();
  for (const outcome of outcomes) {
    const second = Math.floor(outcome.arrival.atMs / MS_PER_SECOND);
    seconds.set(second, [...(seconds.get(second) ?? []), outcome]);
  }
  const shares = [...seconds.values()]
    .map(sumOf)
    .map(({ earned, owed }) => earned / owed)
    .sort((left, right) => left - right);
  const worst = shares.slice(0, Math.ceil(shares.length * WORST_SHARE));
  return worst.reduce((sum, share) => sum + share, 0) / Math.max(1, worst.length);
}

/** Adds the outcomes of a day up. */
export function summarizeDay(outcomes: readonly Outcome[]): DayResult {
  const byKind = new Map<string, Map<OutcomeKind, number>>();
  for (const { arrival, kind } of outcomes) {
    const counts = byKind.get(arrival.kind.name) ?? new Map<OutcomeKind, number>();
    counts.set(kind, (counts.get(kind) ?? 0) + 1);
    byKind.set(arrival.kind.name, counts);
  }
  return { ...sumOf(outcomes), worstSeconds: worstSeconds(outcomes), byKind };
}
