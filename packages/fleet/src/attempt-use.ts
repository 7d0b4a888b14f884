import type { Milliseconds } from '@poppypond/core';

/** KV cache memory that is reserved on one engine for a request. */
export interface ReservedTokens {
  readonly engineId: string;
  readonly tokens: number;
}

/**
 * Resources that one attempt of a request uses on the engine that decodes the answer and on those
 * that help to prefill.
 */
export interface AttemptUse {
  readonly attemptId: string;
  /** The host that placed the attempt. */
  readonly host: string;
  /** The engine that decodes the answer. */
  readonly writerId: string;
  /** Engines that prefill a part of the prompt for the writer. */
  readonly readerIds: readonly string[];
  /** Prefill time on each engine of the attempt. */
  readonly partMs: Milliseconds;
  /** True until the first event arrives. */
  readonly isPrefilling: boolean;
  /** When the attempt was placed, on this process's monotonic clock. */
  readonly placedAtMs: Milliseconds;
  /** Tokens in the writer's KV cache. */
  readonly contextTokens: number;
  /** Memory reserved on other engines; used if the prompt exceeds the memory of one engine. */
  readonly held: readonly ReservedTokens[];
  /** The longest gap between events that the caller accepts. */
  readonly gapAimMs: Milliseconds;
  /**
   * When the attempt is dropped from the view even if its end is not reported, on this process's
   * monotonic clock.
   */
  readonly expiresAtMs: Milliseconds;
}

/**
 * Status queries a second to each engine of a long prompt until its first event, and commands a
 * second that renew a reservation, after each of which the engine that decodes is queried. Hosts
 * send them every 800 and every 700 ms.
 */
const QUERIES_PER_SECOND = 1.25;
const RENEWALS_PER_SECOND = 1.43;

/** Status queries and renewals a second that an attempt causes on one of its engines. */
export function upkeepPerSecond(use: AttemptUse, engineId: string): number {
  const isRenewed = use.held.some((held) => held.engineId === engineId);
  const isQueried = use.held.length > 0 && use.writerId === engineId;
  const isWatched = use.isPrefilling && use.readerIds.length > 0;
  return (isWatched ? QUERIES_PER_SECOND : 0) + (isRenewed || isQueried ? RENEWALS_PER_SECOND : 0);
}
