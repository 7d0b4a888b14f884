import type { Milliseconds } from '@poppypond/core';
import type { AttemptFailure, BackendServer, FollowedRequest } from '@poppypond/fleet';
import type { AttemptEnd } from '../backend/server-attempt.js';
import type { ResponseHead } from '../ports.js';
import type { RunEnds } from '../quarantine/run-ends.js';
import type { AttemptTally } from './attempt-tally.js';
import type { CallerAnswer } from './caller-answer.js';
import { findReader } from './choice.js';
import type { Choice } from './choice.js';
import { firstPatienceMs } from './patience.js';
import type { RelayParts } from './relay-parts.js';
import type { RequestRecord } from './request-record.js';
import type { RunAnswer } from './run-answer.js';

const SERVER_ERROR_FROM = 500;
/** Engines have no errors of an application; plain services do. */
const INTERNAL_ERROR = 500;
const MISDIRECTED = 421;
/** Statuses that promise that nothing was run; only a server's own mark makes that true. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);

/** Why an attempt was given up by this host. */
export interface GivenUp {
  /** Whether another follows. */
  readonly isPassedOver: boolean;
  /** Why the request ends with it; undefined where it doesn't. */
  readonly lostBecause: string | undefined;
  /** How long its server had said nothing. */
  readonly silentMs: Milliseconds;
}

/** What the ends of attempts are weighed with. */
export interface AttemptEndsParts {
  readonly relay: Pick<RelayParts, 'clock' | 'peers' | 'recentRejections'>;
  readonly answer: CallerAnswer;
  readonly runAnswer: RunAnswer;
  readonly record: RequestRecord;
  readonly tally: AttemptTally;
  readonly followed: FollowedRequest;
  readonly ends: RunEnds;
  /** The time that the request had at its coming. */
  readonly limitMs: Milliseconds;
}

/** Decides after each attempt whether another follows, and answers the caller where none does. */
export class AttemptEnds {
  constructor(readonly parts: AttemptEndsParts) {}

  /** Takes in the end of an attempt; true when the answer is over. */
  async finishWith(end: AttemptEnd, choice: Choice, givenUp: GivenUp): Promise<boolean> {
    if (end.kind === 'whole') return this.#finishWhole(end.head, end.body, choice);
    if (end.kind === 'cancelled') return this.#finishCancelled(choice, givenUp);
    if (end.kind === 'events_done') {
      this.#onServed();
      this.parts.runAnswer.finishEvents(end.head);
      return true;
    }
    this.suspect(choice.server, end.detail);
    // Before a retry: the next server would end too, and its end would not count after this one.
    if (end.kind === 'broken') {
      await this.parts.ends.askAfter(choice.attemptId, choice.server, end.detail);
    }
    const failure = end.kind === 'not_sent' ? 'not_sent' : 'unknown';
    return this.#finishFailed(failure, choice, end.detail);
  }

  /** Has all hosts avoid a server that failed. */
  suspect(server: BackendServer, why: string): void {
    const { record, relay } = this.parts;
    const forMs = relay.peers.suspect(server.id, server.service);
    record.serverSuspect(server, why, forMs);
  }

  #onServed(): void {
    this.parts.tally.onAnswered();
    this.parts.followed.onServed();
  }

  #finishCancelled({ attemptId, server, plan }: Choice, givenUp: GivenUp): boolean {
    const { answer, ends, limitMs, runAnswer, tally } = this.parts;
    tally.onCancelled();
    if (givenUp.isPassedOver) return false;
    // A server that has ended in silence is found by nothing else where its request may not be repeated.
    if (givenUp.silentMs > firstPatienceMs(plan?.stream, limitMs)) {
      void ends.askAfter(attemptId, server, 'silent to the end');
    }
    if (givenUp.lostBecause !== undefined && !answer.isGone) runAnswer.giveUp(givenUp.lostBecause);
    else runAnswer.finishOver();
    return true;
  }

  #finishWhole(head: ResponseHead, body: Buffer, choice: Choice): boolean {
    const detail = `status ${String(head.status)}`;
    if (head.isNotExecuted) {
      if (head.status === MISDIRECTED) return this.#finishMisdirected(choice, detail);
      const isForAnother = this.#blame(head.faultyEngine, choice);
      if (!isForAnother) this.#noteTurnedAway(choice.server);
      return this.#finishFailed('not_run', choice, detail);
    }
    if (PROMISE_STATUSES.has(head.status)) return this.#finishFailed('unknown', choice, detail);
    const isServerError = head.status >= SERVER_ERROR_FROM;
    if (head.status === INTERNAL_ERROR && choice.plan) this.suspect(choice.server, detail);
    if (isServerError && this.#noteFailure('failed', choice, detail)) return false;
    if (!isServerError) this.#onServed();
    this.parts.runAnswer.finishWhole(head, body, isServerError ? 'backend_error' : 'ok');
    return true;
  }

  /**
   * Another server has the address, so the one that was meant is gone: whoever chooses among the
   * servers of its service is told, as its entry may stay listed for seconds.
   */
  #finishMisdirected(choice: Choice, detail: string): boolean {
    this.parts.relay.peers.broadcastServerGone(choice.server);
    return this.#finishFailed('misdirected', choice, detail);
  }

  #noteTurnedAway({ id }: BackendServer): void {
    const { clock, recentRejections: turnedAway } = this.parts.relay;
    turnedAway.record(id, clock.monotonicMs());
  }

  /** Avoids the engine for want of which the chosen one could not serve; false where it is none but that one. */
  #blame(faultyEngine: string | undefined, choice: Choice): boolean {
    const blamed = findReader(choice, faultyEngine);
    if (!blamed) return false;
    this.suspect(blamed, 'it failed a prompt that it helped to read');
    void this.parts.ends.askAfter(choice.attemptId, blamed, 'it read a part');
    return true;
  }

  #finishFailed(failure: AttemptFailure, choice: Choice, detail: string): boolean {
    const { answer, runAnswer } = this.parts;
    if (answer.isGone) {
      runAnswer.finishOver();
      return true;
    }
    if (this.#noteFailure(failure, choice, detail)) return false;
    runAnswer.giveUp(detail);
    return true;
  }

  /** Counts and logs a failed attempt; true where another follows. */
  #noteFailure(failure: AttemptFailure, { server }: Choice, detail: string): boolean {
    const again = this.parts.tally.onFailed(server.id, failure);
    this.parts.record.attemptFailed(server, failure, detail, again);
    return again;
  }
}
