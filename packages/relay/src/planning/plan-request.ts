import type { Milliseconds } from '@poppypond/core';
import type { AllowedRegions, ReservedTokens, PlacementRule, UsualTimes } from '@poppypond/fleet';

/** A host's request to the planner of an engine service. */
export interface PlanRequest {
  /** Identifies the attempt to plan; the same id is sent again if no answer comes. */
  readonly attemptId: string;
  readonly requestId: string;
  /** The host that asks. */
  readonly host: string;
  readonly service: string;
  /** Empty if the route needs no key. */
  readonly workspace: string;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Target for the time from arrival to the first event. */
  readonly aimMs: Milliseconds;
  /** Target for the longest gap between two events of the answer. */
  readonly gapAimMs: Milliseconds;
  /** Arrival of the request, on this process's clock. */
  readonly arrivedAtMs: Milliseconds;
  /**
   * When the caller last received anything, on this process's clock: the arrival of its request, or
   * the last event of its answer.
   */
  readonly callerSilentSinceMs: Milliseconds;
  /** When the request's time limit ends, on this process's clock. */
  readonly deadlineAtMs: Milliseconds;
  /** Whether a server may have executed a part of the request already. */
  readonly isRepeated: boolean;
  /**
   * Whether its host could not use an earlier plan for it. Known to the host only, which asks the
   * planner about it whatever the overload.
   */
  readonly isPlannedAgain?: boolean | undefined;
  /** Servers that failed the request; used only if no other is left. */
  readonly avoidedIds: readonly string[];
  /** Servers that the host must not send the request to, even if no other is left. */
  readonly excludedIds: readonly string[];
  /** Regions whose servers may take the request; any region if undefined. */
  readonly allowedRegions?: AllowedRegions;
  /**
   * Until when the request may wait for a permit if all servers report rate limits, on this
   * process's clock; it does not wait if undefined.
   */
  readonly waitsForPermitUntilMs?: Milliseconds | undefined;
  /**
   * Identifies the content of the request, the same for all retries of it; set if servers of the
   * service report rate limits.
   */
  readonly content?: string | undefined;
  /**
   * Number of requests of its service and priority that the host has refused by itself since its
   * last plan request for them; none if undefined.
   */
  readonly refusedLocally?: number | undefined;
  /** Set if the request asks for a permit instead of a plan for a stream. */
  readonly permit?: PermitRequest | undefined;
}

/**
 * Asks for a permit to send a call, a reservation command or a status query to a rate-limited
 * server.
 */
export interface PermitRequest {
  /** Candidate servers; empty for any server of the service. */
  readonly serverIds: readonly string[];
  /** Whether the request is sent regardless of the answer, so that it only needs to be counted. */
  readonly isSent: boolean;
}

/** Where a stream runs, by server ids. */
export interface PlannedStream {
  readonly rule: PlacementRule;
  readonly writerId: string;
  /** Engines that prefill parts of the prompt beside the writer. */
  readonly readerIds: readonly string[];
  /** Prefill time on each of the engines. */
  readonly partMs: Milliseconds;
  /** Memory to reserve on prefill engines before the stream starts. */
  readonly shares: readonly ReservedTokens[];
  /** Expected time from the start of the attempt to the first event. */
  readonly expectedFirstMs: Milliseconds;
  /** Answers that the writer was decoding before this one, and the prefill time queued there. */
  readonly writersBefore: number;
  readonly readingBeforeMs: Milliseconds;
  /**
   * Those of the servers that report a rate limit, or did recently, for which the planner has
   * granted a permit.
   */
  readonly permittedIds: readonly string[];
  /** What the speed of the engines is observed by; undefined if it is not observed. */
  readonly usual?: UsualTimes | undefined;
}

/**
 * For how long a host may refuse requests of the same service and priority by itself, if they would
 * not wait for `retryAfterMs` either.
 */
export interface OverloadLevel {
  readonly forMs: Milliseconds;
  readonly retryAfterMs: Milliseconds;
  /** Ends of the content ids of scheduled retries, which must be sent to the planner. */
  readonly exceptContents: readonly string[];
}

/** Why a planner places nothing, and when the caller may retry if that is known. */
export interface PlanRefusal {
  readonly kind: 'refuse';
  readonly rule: PlacementRule;
  readonly retryAfterMs?: Milliseconds | undefined;
  /**
   * Number of servers that are limited because they are cold; 0 if none is, but they are bounded as
   * they may turn cold, and undefined if they are not.
   */
  readonly coldCount?: number | undefined;
  /** Details beside the rule. */
  readonly detail?: string | undefined;
  /** Set if so many requests are refused that hosts must not send all of them to the planner. */
  readonly overload?: OverloadLevel | undefined;
}

/** A planner's answer. `wait` is followed by another answer once the request can be placed. */
export type PlanAnswer =
  | { readonly kind: 'place'; readonly stream: PlannedStream }
  | { readonly kind: 'wait'; readonly rule: PlacementRule }
  | PlanRefusal;
