import type { Milliseconds } from '@poppypond/core';
import type { EngineLoad } from './engine-load.js';
import type { MemoryShare } from './share-memory.js';

/** What is asked of a placement. */
export interface StreamDemand {
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly aimMs: Milliseconds;
  /** Time since the request came. */
  readonly waitedMs: Milliseconds;
  /** Time from its coming after which its caller is taken to have left. */
  readonly callerTimeoutMs: Milliseconds;
  /** Whether an engine may have run a part of it already. */
  readonly isRepeated: boolean;
}

/** The rules by which streams are placed, made to wait or refused. */
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
  'limited',
  'permitted',
  'engines_needed_by_timely',
  'caller_leaves_first',
  'no_engine',
] as const;

/** One of them. */
export type PlacementRule = (typeof PLACEMENT_RULES)[number];

/** Where a stream runs. */
export interface StreamPlacement {
  readonly kind: 'place';
  readonly rule: PlacementRule;
  readonly writer: EngineLoad;
  /** Engines that read parts beside the writer; empty where it reads alone. */
  readonly readers: readonly EngineLoad[];
  /** Reading time on each engine concerned. */
  readonly partMs: Milliseconds;
  /** Memory that must be held on readers before it starts; empty where the writer holds all. */
  readonly shares: readonly MemoryShare[];
  /** When the first event is expected, from now. */
  readonly expectedFirstMs: Milliseconds;
}

/** What to do with a stream now. `wait`: ask again when the view has changed or a little later. */
export type StreamPlan =
  | StreamPlacement
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | { readonly kind: 'refuse'; readonly rule: PlacementRule };

/** Makes a placement; the first event follows the slowest engine's reading and one pass. */
export function placement(
  rule: PlacementRule,
  writer: EngineLoad,
  readers: readonly EngineLoad[],
  partMs: Milliseconds,
): StreamPlacement {
  const beforeMs = Math.max(
    ...[writer, ...readers].map((load) => load.passMs + load.pendingPrefillMs),
  );
  const expectedFirstMs = beforeMs + partMs + writer.passMs;
  return { kind: 'place', rule, writer, readers, partMs, shares: [], expectedFirstMs };
}
