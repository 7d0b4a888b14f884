import { fault } from '@poppypond/core';
import type { Fault, Milliseconds, ResultName } from '@poppypond/core';
import type { ResponseHead } from '../ports.js';
import type { ResponseEvents } from './response-events.js';
import type { AttemptHistory } from './attempt-history.js';
import type { CallerResponse } from './caller-response.js';
import type { RequestTelemetry } from './request-telemetry.js';

/** Retry delay after a refusal for want of a server, if no better one is known. */
const DEFAULT_RETRY_DELAY_MS: Milliseconds = 250;

const STOPPED_RUNNING = fault('outcome_unknown', 'the host stopped while the request ran');
const UNEXPECTED = 'an unexpected error in the relay';

/** Retry delay of a caller whose next connection goes to another host. */
const STOPPING_RETRY_DELAY_MS: Milliseconds = 50;

/** Returns the fault of a request that was not started, as the host stops before it would end. */
export function hostStopping(): Fault {
  const detail = 'the host stops before the request could be finished';
  return fault('stopping', detail, { retryAfterMs: STOPPING_RETRY_DELAY_MS });
}

/** Dependencies of `FinalResponse`. */
export interface FinalResponseParts {
  readonly answer: CallerResponse;
  readonly telemetry: RequestTelemetry;
  readonly history: AttemptHistory;
  readonly events: ResponseEvents;
  /** Whether the time limit of the request has passed. */
  readonly hasTimedOut: () => boolean;
  /** Whether the request ends because the host stops. */
  readonly isStopped: () => boolean;
  /** Called when the request was served. */
  readonly onServed: () => void;
  /** Returns the retry delay of a caller that is refused now; undefined if it is not known. */
  readonly retryDelayMs: () => Milliseconds | undefined;
}

/** Ends the one response of a request and records its outcome. */
export class FinalResponse {
  constructor(readonly parts: FinalResponseParts) {}

  /** Ends a request whose caller has disconnected or whose deadline has passed. */
  finishUnserved(): void {
    const { answer, history, isStopped } = this.parts;
    if (answer.isTooSlow) this.#end('caller_too_slow');
    else if (answer.isDisconnected)
      this.#end(history.mayHaveRun ? 'cancelled_running' : 'cancelled_waiting');
    else if (isStopped()) this.#refuse(history.mayHaveRun ? STOPPED_RUNNING : hostStopping());
    else this.giveUp('the time limit has passed');
  }

  /** Ends a complete event stream. */
  finishEvents(head: ResponseHead): void {
    this.#end('ok', this.parts.events.end(head));
  }

  /**
   * Sends a server's complete response of any status; aborts instead if an event stream has already
   * begun.
   */
  finishResponse(head: ResponseHead, body: Buffer, code: ResultName): void {
    const { answer } = this.parts;
    if (answer.hasStarted) answer.abort();
    else answer.send(head, body);
    this.#end(code, head.status);
  }

  /** Aborts an answer that the host can hold no longer for its caller. */
  endUnread(detail: string): void {
    const { answer, telemetry } = this.parts;
    telemetry.callerTooSlow(answer.heldBytes, detail);
    answer.abort();
    this.#end('caller_too_slow', undefined, detail);
  }

  /** Refuses a request that won't be served; aborts the response if it has begun. */
  giveUp(
    detail: string,
    retryAfterMs = this.parts.retryDelayMs() ?? DEFAULT_RETRY_DELAY_MS,
    refusal: 'no_backend' | 'quarantined' = 'no_backend',
  ): void {
    this.#refuse(this.#reasonFor(detail, retryAfterMs, refusal));
  }

  /**
   * Ends a request by an exception that no code expects. `mayHaveRun`: whether a server was sent the
   * request, whatever the history says, which may lack the attempt that has failed.
   */
  fail(error: unknown, mayHaveRun: boolean): void {
    this.parts.telemetry.failed(error);
    const retryAfterMs = DEFAULT_RETRY_DELAY_MS;
    this.#refuse(
      mayHaveRun
        ? fault('outcome_unknown', UNEXPECTED)
        : fault('internal_error', UNEXPECTED, { retryAfterMs }),
    );
  }

  #refuse(reason: Fault): void {
    this.parts.answer.refuseOrAbort(reason);
    this.#end(reason.code, undefined, reason.detail);
  }

  #reasonFor(detail: string, retryAfterMs: Milliseconds, refusal: ResultName): Fault {
    const { history, hasTimedOut } = this.parts;
    if (!history.mayHaveRun) return fault(refusal, detail, { retryAfterMs });
    return fault(hasTimedOut() ? 'time_limit' : 'outcome_unknown', detail);
  }

  #end(code: ResultName, status?: number, why?: string): void {
    const { events, telemetry, history, onServed } = this.parts;
    if (code === 'ok') onServed();
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
