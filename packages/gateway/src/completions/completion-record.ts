import type { AttemptEnd } from '@poppypond/backend';
import type { Milliseconds } from '@poppypond/core';
import type { PlacementOutcome } from '../engines/dispatcher.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import type { AdmittedRequest } from './completion-request.js';
import type { RunContext } from './run-context.js';

/** What a request had used when it ended. */
export interface RunTotals {
  readonly attempts: number;
  /** Tokens that the caller has. */
  readonly tokens: number;
}

/** An attempt that failed, for its decision record. */
export interface FailedAttempt {
  readonly engine: string;
  readonly why: string;
  /** Index of the next token that the caller is owed. */
  readonly token: number;
}

/** Records the decisions about one completion and counts them. */
export class CompletionRecorder {
  constructor(
    readonly context: RunContext,
    readonly request: AdmittedRequest,
    readonly recorder: DecisionRecorder,
  ) {}

  /** An engine was chosen, and by what. */
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

  /** The first token goes to the caller. */
  firstToken(): void {
    const { arrivedAtMs, lane } = this.request;
    const elapsedMs = this.context.clock.monotonicMs() - arrivedAtMs;
    this.context.metrics.timing('requests.first_token', elapsedMs, { lane });
  }

  /** An attempt failed; `again`: another follows. */
  retry(failed: FailedAttempt, again: boolean): void {
    this.recorder.record({
      kind: 'retry',
      choice: again ? 'again' : 'none',
      state: { ...failed },
    });
    if (again) this.context.metrics.count('attempts.retried', 1);
  }

  /** A part of a group failed. */
  groupPartFailed(engine: string, end: AttemptEnd): void {
    const why = 'detail' in end ? end.detail : end.kind;
    this.recorder.record({ kind: 'retry', choice: end.kind, state: { engine, why } });
    this.context.metrics.count('attempts.retried', 1);
  }

  /** An engine failed so often that it is set aside. */
  serverEjected(engine: string): void {
    this.context.log.warn('backend_set_aside', { server: engine });
    this.context.metrics.count('backend.set_aside', 1, { server: engine });
  }

  /** The request has ended with a result code. */
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
