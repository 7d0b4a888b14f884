import type { Milliseconds } from '@poppypond/core';
import type { AttemptFailure, BackendServer, FollowedRequest } from '@poppypond/fleet';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import type { ResponseHead } from '../ports.js';
import type { TerminationDetector } from '../quarantine/termination-detector.js';
import type { AttemptHistory } from './attempt-history.js';
import type { CallerResponse } from './caller-response.js';
import { findPrefillEngine } from './choice.js';
import type { Choice } from './choice.js';
import { firstEventTimeoutMs } from './silence-timeouts.js';
import type { RelayParts } from './relay-parts.js';
import type { RequestTelemetry } from './request-telemetry.js';
import type { FinalResponse } from './final-response.js';

const MIN_SERVER_ERROR_STATUS = 500;
/** Engines have no errors of an application; plain services do. */
const INTERNAL_SERVER_ERROR = 500;
const MISDIRECTED = 421;
/** Statuses that promise that nothing was run; only a server's own mark makes that true. */
const UNPROCESSED_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);

/** Why an attempt was given up by this host. */
export interface Abandonment {
  /** Whether another follows. */
  readonly isRetried: boolean;
  /** Why the request ends with it; undefined where it doesn't. */
  readonly failureReason: string | undefined;
  /** How long its server had said nothing. */
  readonly silentMs: Milliseconds;
}

/** What the ends of attempts are weighed with. */
export interface AttemptOutcomeHandlerParts {
  readonly relay: Pick<RelayParts, 'clock' | 'peers' | 'recentRejections'>;
  readonly answer: CallerResponse;
  readonly finalResponse: FinalResponse;
  readonly telemetry: RequestTelemetry;
  readonly history: AttemptHistory;
  readonly followed: FollowedRequest;
  readonly ends: TerminationDetector;
  /** The time that the request had at its coming. */
  readonly timeoutMs: Milliseconds;
}

/** Decides after each attempt whether another follows, and answers the caller where none does. */
export class AttemptOutcomeHandler {
  constructor(readonly parts: AttemptOutcomeHandlerParts) {}

  /** Takes in the end of an attempt; true when the answer is over. */
  async handle(end: AttemptOutcome, choice: Choice, abandonment: Abandonment): Promise<boolean> {
    if (end.kind === 'whole') return this.#handleResponse(end.head, end.body, choice);
    if (end.kind === 'cancelled') return this.#handleCancelled(choice, abandonment);
    if (end.kind === 'events_done') {
      this.#onServed();
      this.parts.finalResponse.finishEvents(end.head);
      return true;
    }
    this.suspect(choice.server, end.detail);
    // Before a retry: the next server would end too, and its end would not count after this one.
    if (end.kind === 'broken') {
      await this.parts.ends.probe(choice.attemptId, choice.server, end.detail);
    }
    const failure = end.kind === 'not_sent' ? 'not_sent' : 'unknown';
    return this.#handleFailure(failure, choice, end.detail);
  }

  /** Has all hosts avoid a server that failed. */
  suspect(server: BackendServer, why: string): void {
    const { telemetry, relay } = this.parts;
    const forMs = relay.peers.suspect(server.id, server.service);
    telemetry.serverSuspected(server, why, forMs);
  }

  #onServed(): void {
    this.parts.history.onAnswered();
    this.parts.followed.onServed();
  }

  #handleCancelled({ attemptId, server, plan }: Choice, abandonment: Abandonment): boolean {
    const { answer, ends, timeoutMs, finalResponse, history } = this.parts;
    history.onCancelled();
    if (abandonment.isRetried) return false;
    // A server that has ended in silence is found by nothing else where its request may not be repeated.
    if (abandonment.silentMs > firstEventTimeoutMs(plan?.stream, timeoutMs)) {
      void ends.probe(attemptId, server, 'silent to the end');
    }
    if (abandonment.failureReason !== undefined && !answer.isDisconnected)
      finalResponse.giveUp(abandonment.failureReason);
    else finalResponse.finishUnserved();
    return true;
  }

  #handleResponse(head: ResponseHead, body: Buffer, choice: Choice): boolean {
    const detail = `status ${String(head.status)}`;
    if (head.isNotExecuted) {
      if (head.status === MISDIRECTED) return this.#handleMisdirected(choice, detail);
      const isOtherAtFault = this.#suspectPrefillEngine(head.faultyEngine, choice);
      if (!isOtherAtFault) this.#recordRejection(choice.server);
      return this.#handleFailure('not_run', choice, detail);
    }
    if (UNPROCESSED_STATUSES.has(head.status))
      return this.#handleFailure('unknown', choice, detail);
    const isServerError = head.status >= MIN_SERVER_ERROR_STATUS;
    if (head.status === INTERNAL_SERVER_ERROR && choice.plan) this.suspect(choice.server, detail);
    if (isServerError && this.#recordFailure('failed', choice, detail)) return false;
    if (!isServerError) this.#onServed();
    this.parts.finalResponse.finishResponse(head, body, isServerError ? 'backend_error' : 'ok');
    return true;
  }

  /**
   * Another server has the address, so the one that was meant is gone: whoever chooses among the
   * servers of its service is told, as its entry may stay listed for seconds.
   */
  #handleMisdirected(choice: Choice, detail: string): boolean {
    this.parts.relay.peers.broadcastServerGone(choice.server);
    return this.#handleFailure('misdirected', choice, detail);
  }

  #recordRejection({ id }: BackendServer): void {
    const { clock, recentRejections } = this.parts.relay;
    recentRejections.record(id, clock.monotonicMs());
  }

  /** Avoids the engine for want of which the chosen one could not serve; false where it is none but that one. */
  #suspectPrefillEngine(faultyEngine: string | undefined, choice: Choice): boolean {
    const prefillEngine = findPrefillEngine(choice, faultyEngine);
    if (!prefillEngine) return false;
    this.suspect(prefillEngine, 'it failed a prompt that it helped to read');
    void this.parts.ends.probe(choice.attemptId, prefillEngine, 'it read a part');
    return true;
  }

  #handleFailure(failure: AttemptFailure, choice: Choice, detail: string): boolean {
    const { answer, finalResponse } = this.parts;
    if (answer.isDisconnected) {
      finalResponse.finishUnserved();
      return true;
    }
    if (this.#recordFailure(failure, choice, detail)) return false;
    finalResponse.giveUp(detail);
    return true;
  }

  /** Counts and logs a failed attempt; true where another follows. */
  #recordFailure(failure: AttemptFailure, { server }: Choice, detail: string): boolean {
    const again = this.parts.history.onFailed(server.id, failure);
    this.parts.telemetry.attemptFailed(server, failure, detail, again);
    return again;
  }
}
