import { fault } from '@poppypond/core';
import type { Fault, Milliseconds, ResultName } from '@poppypond/core';
import type { ResponseHead } from '../ports.js';
import type { ResponseEvents } from './response-events.js';
import type { AttemptHistory } from './attempt-history.js';
import type { CallerResponse } from './caller-response.js';
import type { RequestTelemetry } from './request-telemetry.js';

/** When to come back after a refusal for want of a server. */
const DEFAULT_RETRY_DELAY_MS: Milliseconds = 250;

/** What the one answer of a request is made from. */
export interface FinalResponseParts {
  readonly answer: CallerResponse;
  readonly telemetry: RequestTelemetry;
  readonly history: AttemptHistory;
  readonly events: ResponseEvents;
  /** Whether the request has had all its time. */
  readonly hasTimedOut: () => boolean;
  /** When a caller may come back that is refused now; undefined where nothing is known of that. */
  readonly retryDelayMs: () => Milliseconds | undefined;
}

/** The one answer that a request gets in the end, and its line in the log. */
export class FinalResponse {
  constructor(readonly parts: FinalResponseParts) {}

  /** The caller has left, or the time is up. */
  finishUnserved(): void {
    const { answer, history } = this.parts;
    if (answer.isDisconnected)
      this.#end(history.mayHaveRun ? 'cancelled_running' : 'cancelled_waiting');
    else this.giveUp('the time limit passed');
  }

  /** Ends a stream in order. */
  finishEvents(head: ResponseHead): void {
    this.#end('ok', this.parts.events.end(head));
  }

  /** Passes on a whole answer of a server, of whatever status; a stream that has begun can't end with it. */
  finishResponse(head: ResponseHead, body: Buffer, code: ResultName): void {
    const { answer } = this.parts;
    if (answer.hasStarted) answer.abort();
    else answer.send(head, body);
    this.#end(code, head.status);
  }

  /** Gives the final answer of a request that won't be served. */
  giveUp(
    detail: string,
    retryAfterMs = this.parts.retryDelayMs() ?? DEFAULT_RETRY_DELAY_MS,
    refusal: 'no_backend' | 'quarantined' = 'no_backend',
  ): void {
    const { answer } = this.parts;
    const reason = this.#reasonFor(detail, retryAfterMs, refusal);
    if (answer.hasStarted) answer.abort();
    else answer.refuse(reason);
    this.#end(reason.code, undefined, detail);
  }

  #reasonFor(detail: string, retryAfterMs: Milliseconds, refusal: ResultName): Fault {
    const { history, hasTimedOut } = this.parts;
    if (!history.mayHaveRun) return fault(refusal, detail, { retryAfterMs });
    return fault(hasTimedOut() ? 'time_limit' : 'outcome_unknown', detail);
  }

  #end(code: ResultName, status?: number, why?: string): void {
    const { events, telemetry, history } = this.parts;
    telemetry.answered({
      code,
      status,
      why,
      attemptsSent: history.sent,
      attemptsUndelivered: history.undelivered,
      lastEventId: events.lastId,
    });
  }
}
