import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import type { MemoryShare } from './share-memory.js';

/** Requirements of a stream that is to be placed. */
export interface StreamDemand {
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Latency target of the first event, counted from the arrival of the request. */
  readonly aimMs: Milliseconds;
  /** Time since the arrival of the request. */
  readonly waitedMs: Milliseconds;
  /** Time since the arrival after which the caller is assumed to have disconnected. */
  readonly callerTimeoutMs: Milliseconds;
  /** Whether an engine may already have run a part of the request. */
  readonly isRepeated: boolean;
}

/** Rules by which streams are placed, delayed or refused. */
export const PLACEMENT_RULES = [
  'packed',
  'least_busy',
  'parts_without_harm',
  'parts_with_least_harm',
  'waits_for_engine',
  'waits_for_reads',
  'waits_for_slack',
  'waits_for_memory',
  'waits_for_idle_engines',
  'waits_for_limit',
  'waits_for_connections',
  'limited',
  'permitted',
  'waits_for_turn',
  'overloaded',
  'engines_needed_by_timely',
  'caller_leaves_first',
  'no_engine',
] as const;

/** The rule behind a plan. */
export type PlacementRule = (typeof PLACEMENT_RULES)[number];

/** The engines on which a stream runs. */
export interface StreamPlacement {
  readonly kind: 'place';
  readonly rule: PlacementRule;
  /** The engine that decodes the answer. */
  readonly writer: EngineLoad;
  /** Engines that prefill parts in addition to the writer; empty if the prompt is not split. */
  readonly readers: readonly EngineLoad[];
  /** Prefill time on each of the engines, at the usual speed. */
  readonly partMs: Milliseconds;
  /** Memory to reserve on readers before the start; empty if the writer can store all. */
  readonly shares: readonly MemoryShare[];
  /** Expected time from now until the first event. */
  readonly expectedFirstMs: Milliseconds;
}

/**
 * What to do with a stream now. `wait`: plan again when the view has changed, or a little later.
 */
export type StreamPlan =
  | StreamPlacement
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | { readonly kind: 'refuse'; readonly rule: PlacementRule };

/**
 * Creates a placement; the first event follows one pass after the slowest engine has finished its
 * part.
 */
export function placement(
  rule: PlacementRule,
  writer: EngineLoad,
  readers: readonly EngineLoad[],
  partMs: Milliseconds,
): StreamPlacement {
  const prefilledMs = Math.max(
    ...[writer, ...readers].map(({ passMs, pendingPrefillMs, slowdown }) => {
      return passMs + pendingPrefillMs + partMs * slowdown;
    }),
  );
  const expectedFirstMs = prefilledMs + writer.passMs;
  return { kind: 'place', rule, writer, readers, partMs, shares: [], expectedFirstMs };
}
