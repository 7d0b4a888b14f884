import type { Milliseconds } from '@poppypond/core';
import type { ReservedTokens, PlacementRule } from '@poppypond/fleet';

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
  readonly callerSilentSinceMs: Milliseconds;
  /** When its time is up, on this process's clock. */
  readonly deadlineAtMs: Milliseconds;
  /** Whether a server may have run a part of it already. */
  readonly isRepeated: boolean;
  /** Servers that failed the request: they are chosen where no other is left. */
  readonly avoidedIds: readonly string[];
  /** Servers that the host may send nothing, whatever others there are. */
  readonly excludedIds: readonly string[];
  /** Until when it may wait for a place where all servers name limits, on this process's clock; not where undefined. */
  readonly waitsForPermitUntilMs?: Milliseconds | undefined;
  /** Names what is asked, the same for all tries of one request; told where servers of the service name limits. */
  readonly content?: string | undefined;
  /** What is asked for where it is no plan for a stream. */
  readonly permit?: PermitRequest | undefined;
}

/** A place of a limit that a host asks for: to send a call, an order or a question. */
export interface PermitRequest {
  /** The servers that may be meant; any of the service where there are none. */
  readonly serverIds: readonly string[];
  /** Whether it is sent whatever the answer, so that it only has to be counted. */
  readonly isSent: boolean;
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
  readonly shares: readonly ReservedTokens[];
  /** When the first event is expected, from the start of the attempt. */
  readonly expectedFirstMs: Milliseconds;
  /** Answers that the writer had before this one, and the reading before it. */
  readonly writersBefore: number;
  readonly readingBeforeMs: Milliseconds;
  /** Those of the servers that name a limit or did lately, of which the planner has given a place. */
  readonly permittedIds: readonly string[];
}

/** Why a planner places nothing, and when its caller may come back where that is known. */
export interface PlanRefusal {
  readonly kind: 'refuse';
  readonly rule: PlacementRule;
  readonly retryAfterMs?: Milliseconds | undefined;
  /** What there is to tell beside the rule. */
  readonly detail?: string | undefined;
}

/** What a planner answers. After `wait` it answers again when a place is found. */
export type PlanAnswer =
  | { readonly kind: 'place'; readonly stream: PlannedStream }
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | PlanRefusal;
