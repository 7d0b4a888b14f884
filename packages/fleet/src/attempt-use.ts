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
