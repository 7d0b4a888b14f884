import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';

/** Estimates for a request and for the lane it would run in. */
export interface AdmissionInput {
  readonly timeRemainingMs: Milliseconds;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Tokens queued at this host ahead of the request. */
  readonly queuedTokens: number;
  /** Prefill time of the work queued ahead on the least busy engine of the lane. */
  readonly minWorkAheadMs: Milliseconds;
  /** Prefill rate of all engines in the lane, divided by the number of hosts that share them. */
  readonly laneTokensPerMs: number;
  /** Prefill rate of one engine. */
  readonly engineTokensPerMs: number;
  readonly stepMs: Milliseconds;
}

/** Predicted time until the last token of a request that is admitted now. */
export function predictFinishMs(input: AdmissionInput): Milliseconds {
  const queueMs = input.queuedTokens / Math.max(Number.EPSILON, input.laneTokensPerMs);
  const prefillMs = input.promptTokens / Math.max(Number.EPSILON, input.engineTokensPerMs);
  return queueMs + input.minWorkAheadMs + prefillMs + input.outputTokens * input.stepMs;
}

/**
 * Returns a fault if a request is predicted to miss its time limit, so that it is refused at once.
 * The fault has `retryAfterMs` only if the request could finish in time with nothing queued ahead.
 */
export function checkAdmission(input: AdmissionInput): Fault | undefined {
  const finishMs = predictFinishMs(input);
  if (finishMs <= input.timeRemainingMs) return undefined;
  const withoutQueueMs = predictFinishMs({ ...input, queuedTokens: 0, minWorkAheadMs: 0 });
  const detail = `predicted to take ${finishMs.toFixed(0)} ms, remaining time ${input.timeRemainingMs.toFixed(0)} ms`;
  if (withoutQueueMs > input.timeRemainingMs) return fault('cannot_finish', detail);
  return fault('cannot_finish', detail, { retryAfterMs: finishMs - input.timeRemainingMs });
}
