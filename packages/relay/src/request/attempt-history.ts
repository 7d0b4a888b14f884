import type { Milliseconds } from '@poppypond/core';
import { decideRetry, isUndelivered } from '@poppypond/fleet';
import type { AttemptFailure } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { RequestTelemetry } from './request-telemetry.js';

/** Dependencies of `AttemptHistory`. */
export interface AttemptHistoryParts {
  readonly route: Route;
  readonly telemetry: RequestTelemetry;
  readonly leftMs: () => Milliseconds;
  /** Whether the request may not run now because servers terminated while running it. */
  readonly isQuarantined: () => boolean;
  /** Takes one retry from the shared retry budget; returns false if it is exhausted. */
  readonly takeRetry: () => boolean;
}

/** Whether a request of the route may be run more than once. */
export function isRepeatable({ kind, isResumable }: Route): boolean {
  return kind === 'safe' || (kind === 'stream' && isResumable);
}

/** Counts the finished attempts of one request and decides whether another may follow. */
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

  /** Attempts that reached no server of the service. */
  get undelivered(): number {
    return this.#undelivered;
  }

  /** Whether a failed or cancelled attempt may have run the request. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  /** Ids of the servers that failed this request. */
  get failedIds(): ReadonlySet<string> {
    return this.#failedIds;
  }

  /** Whether the request may be run more than once. */
  get mayRepeat(): boolean {
    return isRepeatable(this.parts.route);
  }

  /** Counts an attempt with a complete response. */
  onAnswered(): void {
    this.#sent += 1;
  }

  /** Counts an attempt that was cancelled before its response was complete. */
  onCancelled(): void {
    this.#sent += 1;
    this.#mayHaveRun = true;
  }

  /**
   * Counts a failed attempt; returns true if another follows, which is taken from the retry budget.
   */
  onFailed(serverId: string, failure: AttemptFailure): boolean {
    if (isUndelivered(failure)) this.#undelivered += 1;
    else this.#sent += 1;
    if (failure === 'unknown' || failure === 'failed') this.#mayHaveRun = true;
    this.#failedIds.add(serverId);
    return this.#tryRetry(failure, this.#sent);
  }

  /**
   * Decides whether a running attempt is abandoned for another, which is taken from the retry
   * budget.
   */
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
