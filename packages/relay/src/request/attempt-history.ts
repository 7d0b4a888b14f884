import type { Milliseconds } from '@poppypond/core';
import { decideRetry, isUndelivered } from '@poppypond/fleet';
import type { AttemptFailure } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { RequestTelemetry } from './request-telemetry.js';

/** What the tally needs. */
export interface AttemptHistoryParts {
  readonly route: Route;
  readonly telemetry: RequestTelemetry;
  readonly leftMs: () => Milliseconds;
  /** Whether the request is not to be run now, as servers have ended under it. */
  readonly isQuarantined: () => boolean;
  /** Takes one retry out of the shared budget; false where it is used up. */
  readonly takeRetry: () => boolean;
}

/** The attempts of one request that are over, and whether another may follow. */
export class AttemptHistory {
  #sent = 0;
  #undelivered = 0;
  #mayHaveRun = false;
  readonly #failedIds = new Set<string>();

  constructor(readonly parts: AttemptHistoryParts) {}

  /** Attempts that reached a server of the service. */
  get sent(): number {
    return this.#sent;
  }

  /** Attempts that no server of the service has seen. */
  get undelivered(): number {
    return this.#undelivered;
  }

  /** Whether an attempt that failed or was given up may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Servers that failed this request. */
  get failedIds(): ReadonlySet<string> {
    return this.#failedIds;
  }

  /** Whether the request may be run twice. */
  get mayRepeat(): boolean {
    const { kind, isResumable } = this.parts.route;
    return kind === 'safe' || (kind === 'stream' && isResumable);
  }

  /** The server answered to its end. */
  onAnswered(): void {
    this.#sent += 1;
  }

  /** The attempt was given up before its answer was over. */
  onCancelled(): void {
    this.#sent += 1;
    this.#mayHaveRun = true;
  }

  /** Counts a failed attempt; true where another follows, which the budget then counts. */
  onFailed(serverId: string, failure: AttemptFailure): boolean {
    if (isUndelivered(failure)) this.#undelivered += 1;
    else this.#sent += 1;
    if (failure === 'unknown' || failure === 'failed') this.#mayHaveRun = true;
    this.#failedIds.add(serverId);
    return this.#tryRetry(failure, this.#sent);
  }

  /** Whether a silent attempt, which still runs, is given up for another that the budget then counts. */
  tryAbandon(serverId: string): boolean {
    if (!this.mayRepeat || !this.#tryRetry('unknown', this.#sent + 1)) return false;
    this.#failedIds.add(serverId);
    return true;
  }

  #tryRetry(failure: AttemptFailure, attemptsSent: number): boolean {
    const { route, telemetry, leftMs, isQuarantined, takeRetry } = this.parts;
    const timeLeftMs = leftMs();
    const decision = decideRetry({
      failure,
      mayRepeat: this.mayRepeat,
      attemptsSent,
      attemptsUndelivered: this.#undelivered,
      maxAttempts: route.maxAttempts,
      timeLeftMs,
      isQuarantined: isQuarantined(),
      takeRetry,
    });
    if (!decision.again) {
      telemetry.retryRefused({ failure, decision, attempts: attemptsSent, leftMs: timeLeftMs });
    }
    return decision.again;
  }
}
