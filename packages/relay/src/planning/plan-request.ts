import type { Milliseconds } from '@poppypond/core';
import type { HeldTokens, PlacementRule } from '@poppypond/fleet';

/** What a host asks of the host that plans for a service of engines. */
export interface PlanRequest {
  /** Names the attempt that is planned; asked again under the same name where no answer came. */
  readonly attemptId: string;
  readonly requestId: string;
  /** The host that asks. */
  readonly host: string;
  readonly service: string;
  /** Empty where the route needs no key. */
  readonly workspace: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly aimMs: Milliseconds;
  /** The longest pause between events that the caller takes. */
  readonly gapAimMs: Milliseconds;
  /** When the request came, on this process's clock. */
  readonly arrivedAtMs: Milliseconds;
  /** Since when its caller has heard nothing: its coming, or the last event of its answer. */
  readonly silentSinceMs: Milliseconds;
  /** When its time is up, on this process's clock. */
  readonly limitAtMs: Milliseconds;
  /** Whether a server may have run a part of it already. */
  readonly isRepeated: boolean;
  /** Servers that failed the request: they are chosen where no other is left. */
  readonly avoidedIds: readonly string[];
  /** Servers that the host may send nothing, whatever others there are. */
  readonly excludedIds: readonly string[];
}

/** Where a stream is to run, by the ids of servers. */
export interface PlannedStream {
  readonly rule: PlacementRule;
  readonly writerId: string;
  /** Engines that read parts beside the writer. */
  readonly readerIds: readonly string[];
  /** Reading time on each engine concerned. */
  readonly partMs: Milliseconds;
  /** Memory that must be held on readers before it starts. */
  readonly shares: readonly HeldTokens[];
  /** When the first event is expected, from the start of the attempt. */
  readonly expectedFirstMs: Milliseconds;
  /** Answers that the writer had before this one, and the reading before it. */
  readonly writersBefore: number;
  readonly readingBeforeMs: Milliseconds;
}

/** What a planner answers. After `wait` it answers again when a place is found. */
export type PlanAnswer =
  | { readonly kind: 'place'; readonly stream: PlannedStream }
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | { readonly kind: 'refuse'; readonly rule: PlacementRule };
