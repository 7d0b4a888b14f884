import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';

/** What is known of a request and of the lane it would run in. */
export interface AdmissionInput {
  readonly timeRemainingMs: Milliseconds;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens that wait at this host before it. */
  readonly queuedTokens: number;
  /** Least work ahead on any engine of the lane. */
  readonly minWorkAheadMs: Milliseconds;
  /** Prefill of all engines in the lane, divided by the hosts that share them. */
  readonly laneTokensPerMs: number;
  /** Prefill of one engine. */
  readonly engineTokensPerMs: number;
  readonly stepMs: Milliseconds;
}

/** When a request would have its last token if it were admitted now. */
export function predictFinishMs(input: AdmissionInput): Milliseconds {
  const queueMs = input.queuedTokens / Math.max(Number.EPSILON, input.laneTokensPerMs);
  const prefillMs = input.promptTokens / Math.max(Number.EPSILON, input.engineTokensPerMs);
  return queueMs + input.minWorkAheadMs + prefillMs + input.outputTokens * input.stepMs;
}

/** Refuses at once what can't finish in its limit, and says when to come back. */
export function checkAdmission(input: AdmissionInput): Fault | undefined {
  const finishMs = predictFinishMs(input);
  if (finishMs <= input.timeRemainingMs) return undefined;
  const withoutQueueMs = predictFinishMs({ ...input, queuedTokens: 0, minWorkAheadMs: 0 });
  const detail = `would need ${finishMs.toFixed(0)} ms of ${input.timeRemainingMs.toFixed(0)} ms`;
  if (withoutQueueMs > input.timeRemainingMs) return fault('cannot_finish', detail);
  return fault('cannot_finish', detail, { retryAfterMs: finishMs - input.timeRemainingMs });
}
