import { fault } from '@poppypond/core';
import type { Fault, Milliseconds, ResultName } from '@poppypond/core';
import type { ResponseHead } from '../ports.js';
import type { AnswerEvents } from './answer-events.js';
import type { AttemptTally } from './attempt-tally.js';
import type { CallerAnswer } from './caller-answer.js';
import type { RequestRecord } from './request-record.js';

/** When to come back after a refusal for want of a server. */
const REFUSED_RETRY_MS: Milliseconds = 250;

/** What the one answer of a request is made from. */
export interface RunAnswerParts {
  readonly answer: CallerAnswer;
  readonly record: RequestRecord;
  readonly tally: AttemptTally;
  readonly events: AnswerEvents;
  /** Whether the request has had all its time. */
  readonly isTimeUp: () => boolean;
  /** When a caller may come back that is refused now; undefined where nothing is known of that. */
  readonly comeBackMs: () => Milliseconds | undefined;
}

/** The one answer that a request gets in the end, and its line in the log. */
export class RunAnswer {
  constructor(readonly parts: RunAnswerParts) {}

  /** The caller has left, or the time is up. */
  finishOver(): void {
    const { answer, tally } = this.parts;
    if (answer.isGone) this.#end(tally.mayHaveRun ? 'cancelled_running' : 'cancelled_waiting');
    else this.giveUp('the time limit passed');
  }

  /** Ends a stream in order. */
  finishEvents(head: ResponseHead): void {
    this.#end('ok', this.parts.events.end(head));
  }

  /** Passes on a whole answer of a server, of whatever status; a stream that has begun can't end with it. */
  finishWhole(head: ResponseHead, body: Buffer, code: ResultName): void {
    const { answer } = this.parts;
    if (answer.isBegun) answer.breakOff();
    else answer.sendWhole(head, body);
    this.#end(code, head.status);
  }

  /** Gives the final answer of a request that won't be served. */
  giveUp(
    detail: string,
    retryAfterMs = this.parts.comeBackMs() ?? REFUSED_RETRY_MS,
    refusal: 'no_backend' | 'quarantined' = 'no_backend',
  ): void {
    const { answer } = this.parts;
    const reason = this.#reasonFor(detail, retryAfterMs, refusal);
    if (answer.isBegun) answer.breakOff();
    else answer.refuse(reason);
    this.#end(reason.code, undefined, detail);
  }

  #reasonFor(detail: string, retryAfterMs: Milliseconds, refusal: ResultName): Fault {
    const { tally, isTimeUp } = this.parts;
    if (!tally.mayHaveRun) return fault(refusal, detail, { retryAfterMs });
    return fault(isTimeUp() ? 'time_limit' : 'outcome_unknown', detail);
  }

  #end(code: ResultName, status?: number, why?: string): void {
    const { events, record, tally } = this.parts;
    record.answered({
      code,
      status,
      why,
      attemptsSent: tally.sent,
      attemptsUndelivered: tally.undelivered,
      lastEventId: events.lastId,
    });
  }
}
