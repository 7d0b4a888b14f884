import type { Milliseconds } from '@poppypond/core';
import type { AttemptFailure, BackendServer } from '@poppypond/fleet';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import type { ResponseHead } from '../ports.js';
import { isTermination } from '../quarantine/termination-detector.js';
import type { ServerFinding, TerminationDetector } from '../quarantine/termination-detector.js';
import type { TerminationTracker } from '../quarantine/termination-tracker.js';
import type { AttemptHistory } from './attempt-history.js';
import type { CallerResponse } from './caller-response.js';
import { findPrefillEngine } from './choice.js';
import type { Choice } from './choice.js';
import { firstEventTimeoutMs } from './silence-timeouts.js';
import type { RelayParts } from './relay-parts.js';
import type { RequestTelemetry } from './request-telemetry.js';
import type { FinalResponse } from './final-response.js';

const SUCCESS_STATUS_END = 300;
const MIN_SERVER_ERROR_STATUS = 500;
/**
 * A 500 of an engine means that the engine failed; a plain service may return it for an application
 * error.
 */
const INTERNAL_SERVER_ERROR = 500;
const MISDIRECTED = 421;
/**
 * Statuses that by convention mean that nothing was run; only the server's own header confirms it.
 */
const UNPROCESSED_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);

const ENDED_WITH_SERVER = 'the response may have ended with its server';

/** Why this host abandoned an attempt. */
export interface Abandonment {
  /** Whether another attempt follows. */
  readonly isRetried: boolean;
  /** Why the request fails with this attempt; undefined if it does not. */
  readonly failureReason: string | undefined;
  /** How long its server had sent nothing. */
  readonly silentMs: Milliseconds;
}

/** Dependencies of `AttemptOutcomeHandler`. */
export interface AttemptOutcomeHandlerParts {
  readonly relay: Pick<
    RelayParts,
    'clock' | 'notices' | 'peers' | 'reachability' | 'recentRejections'
  >;
  readonly answer: CallerResponse;
  readonly finalResponse: FinalResponse;
  readonly telemetry: RequestTelemetry;
  readonly history: AttemptHistory;
  readonly followed: TerminationTracker;
  readonly ends: TerminationDetector;
  /** Time limit of the request, from its arrival. */
  readonly timeoutMs: Milliseconds;
}

/** Decides after each attempt whether another follows, and sends the response if none does. */
export class AttemptOutcomeHandler {
  constructor(readonly parts: AttemptOutcomeHandlerParts) {}

  /** Handles the outcome of an attempt; returns true if the response is finished. */
  async handle(end: AttemptOutcome, choice: Choice, abandonment: Abandonment): Promise<boolean> {
    if (end.kind === 'cancelled') return this.#handleCancelled(choice, abandonment);
    if (end.kind === 'not_taken') return this.#handleNotTaken(end.why, end.detail);
    if (end.kind === 'whole' || end.kind === 'events_done') {
      const found = end.isDelimited ? 'running' : await this.#probeAtEnd(choice);
      if (isTermination(found) || found === 'unknown')
        return this.#handleFailure('unknown', choice, ENDED_WITH_SERVER);
      const isProven = found === 'running';
      if (end.kind === 'whole') return this.#handleResponse(end.head, end.body, choice, isProven);
      this.#onServed(isProven);
      this.parts.finalResponse.finishEvents(end.head);
      return true;
    }
    // The check precedes the retry: a termination of the next server counts as a further one only
    // if this one is known when the retry begins. It also tells a lost path from a failed server.
    if (end.kind === 'broken') {
      await this.parts.ends.probe(choice.attemptId, choice.server, end.detail, true);
    }
    if (this.#isServerAtFault(end, choice.server)) {
      this.suspect(choice.server, end.detail);
      this.parts.relay.notices.recordFailure(choice.server);
    }
    const failure = end.kind === 'not_sent' ? 'not_sent' : 'unknown';
    return this.#handleFailure(failure, choice, end.detail);
  }

  /**
   * Checks the server of a response that has neither a length nor chunks: it may have ended because
   * the server terminated.
   */
  #probeAtEnd({ attemptId, server }: Choice): Promise<ServerFinding> {
    const { ends, history } = this.parts;
    return ends.probeAtEnd(attemptId, server, ENDED_WITH_SERVER, history.mayRepeat);
  }

  #isServerAtFault(
    end: Extract<AttemptOutcome, { readonly kind: 'broken' | 'not_sent' }>,
    server: BackendServer,
  ): boolean {
    if (end.kind === 'not_sent') return end.isServerAtFault;
    return !this.parts.relay.reachability.isBroken(server);
  }

  /** Reports a failed server to all hosts, which avoid it for a while. */
  suspect(server: BackendServer, why: string): void {
    const { telemetry, relay } = this.parts;
    const forMs = relay.peers.suspect(server.id, server.service);
    telemetry.serverSuspected(server, why, forMs);
  }

  /** `isProven`: whether the server is known to have survived the complete response. */
  #onServed(isProven: boolean): void {
    this.parts.history.onAnswered();
    if (isProven) this.parts.followed.onServed();
  }

  #handleCancelled({ attemptId, server, plan }: Choice, abandonment: Abandonment): boolean {
    const { answer, ends, timeoutMs, finalResponse, history } = this.parts;
    history.onCancelled();
    if (abandonment.isRetried) return false;
    // Nothing else detects a server that died without closing its connection if the request may not
    // be retried.
    if (abandonment.silentMs > firstEventTimeoutMs(plan?.stream, timeoutMs)) {
      void ends.probe(attemptId, server, 'sent nothing until the attempt ended');
    }
    if (abandonment.failureReason !== undefined && !answer.isDisconnected)
      finalResponse.giveUp(abandonment.failureReason);
    else finalResponse.finishUnserved();
    return true;
  }

  /** Ends the request: another attempt would meet the same caller and the same host. */
  #handleNotTaken(why: 'host_full' | 'caller_too_slow', detail: string): boolean {
    const { finalResponse, history } = this.parts;
    history.onCancelled();
    if (why === 'caller_too_slow') finalResponse.endUnread(detail);
    else finalResponse.giveUp(detail);
    return true;
  }

  #handleResponse(head: ResponseHead, body: Buffer, choice: Choice, isProven: boolean): boolean {
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
    // An error response does not prove that the server would survive the request.
    if (!isServerError) this.#onServed(isProven && head.status < SUCCESS_STATUS_END);
    this.parts.finalResponse.finishResponse(head, body, isServerError ? 'backend_error' : 'ok');
    return true;
  }

  /**
   * Another server has the address, so the intended one is gone. All hosts that choose among the
   * servers of its service are notified, as its entry may stay listed for seconds.
   */
  #handleMisdirected(choice: Choice, detail: string): boolean {
    this.parts.relay.peers.broadcastServerGone(choice.server);
    return this.#handleFailure('misdirected', choice, detail);
  }

  #recordRejection({ id }: BackendServer): void {
    const { clock, recentRejections } = this.parts.relay;
    recentRejections.record(id, clock.monotonicMs());
  }

  /**
   * Suspects the prefill engine whose fault made the chosen engine fail; returns false if
   * `faultyEngine` names no prefill engine of the attempt.
   */
  #suspectPrefillEngine(faultyEngine: string | undefined, choice: Choice): boolean {
    const prefillEngine = findPrefillEngine(choice, faultyEngine);
    if (!prefillEngine) return false;
    this.suspect(prefillEngine, 'failed to prefill its part of a prompt');
    void this.parts.ends.probe(
      choice.attemptId,
      prefillEngine,
      'prefilled a part of a failed prompt',
    );
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

  /** Counts and logs a failed attempt; returns true if another follows. */
  #recordFailure(failure: AttemptFailure, { server }: Choice, detail: string): boolean {
    const again = this.parts.history.onFailed(server.id, failure);
    this.parts.telemetry.attemptFailed(server, failure, detail, again);
    return again;
  }
}
