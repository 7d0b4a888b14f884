import type { AttemptEnd } from '@poppypond/backend';
import type { Milliseconds } from '@poppypond/core';
import type { PlacementOutcome } from '../engines/dispatcher.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import type { AdmittedRequest } from './completion-request.js';
import type { RunContext } from './run-context.js';

/** Totals of a request when it ended. */
export interface RunTotals {
  readonly attempts: number;
  /** Output tokens that the caller has, including those before a resumed stream. */
  readonly tokens: number;
}

/** A failed attempt, as it is written to the decision record. */
export interface FailedAttempt {
  readonly engine: string;
  readonly why: string;
  /** Index of the next token to send to the caller. */
  readonly token: number;
}

/** Records the decisions about one completion and updates its metrics. */
export class CompletionRecorder {
  constructor(
    readonly context: RunContext,
    readonly request: AdmittedRequest,
    readonly recorder: DecisionRecorder,
  ) {}

  /** Records the selected engine and the figures behind the selection. */
  placed(placed: PlacementOutcome, remainingMs: Milliseconds): void {
    const { context, request } = this;
    this.recorder.record({
      kind: 'place',
      choice: placed.engine.name,
      state: {
        lane: request.lane,
        cutOffTokens: context.lanes.cutOffText,
        promptTokens: request.promptTokens,
        cachedTokens: placed.cachedTokens,
        priority: request.priority,
        waitedMs: Math.round(placed.waitedMs),
        predictedStartMs: Math.round(placed.predictedStartMs),
        remainingMs: Math.round(remainingMs),
        reportAgeMs: Math.round(context.clock.monotonicMs() - placed.engine.load.reportAtMs),
      },
      passedOver: placed.passedOver.map((rejected) => ({ ...rejected })),
    });
  }

  /** Reports the time from the arrival of the request to its first token. */
  firstToken(): void {
    const { arrivedAtMs, lane } = this.request;
    const elapsedMs = this.context.clock.monotonicMs() - arrivedAtMs;
    this.context.metrics.timing('requests.first_token', elapsedMs, { lane });
  }

  /** Records a failed attempt; `again` tells whether another one follows. */
  retry(failed: FailedAttempt, again: boolean): void {
    this.recorder.record({
      kind: 'retry',
      choice: again ? 'again' : 'none',
      state: { ...failed },
    });
    if (again) this.context.metrics.count('attempts.retried', 1);
  }

  /** Records that an engine failed to run its part of a group. */
  groupPartFailed(engine: string, end: AttemptEnd): void {
    const why = 'detail' in end ? end.detail : end.kind;
    this.recorder.record({ kind: 'retry', choice: end.kind, state: { engine, why } });
    this.context.metrics.count('attempts.retried', 1);
  }

  /** Reports that an engine was ejected after repeated failures. */
  serverEjected(engine: string): void {
    this.context.log.warn('backend_set_aside', { server: engine });
    this.context.metrics.count('backend.set_aside', 1, { server: engine });
  }

  /** Records the result code and the totals of the ended request. */
  ended(code: string, detail: string, totals: RunTotals): void {
    this.context.metrics.count('requests.done', 1, { code });
    const elapsedMs = Math.round(this.context.clock.monotonicMs() - this.request.arrivedAtMs);
    this.recorder.record({
      kind: 'finish',
      choice: code,
      state: { ...totals, elapsedMs, detail },
    });
  }
}
