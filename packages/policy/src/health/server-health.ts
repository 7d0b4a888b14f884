import type { Milliseconds } from '@poppypond/core';

const FAILURES_TO_EJECT = 3;
const INITIAL_EJECTION_MS = 500;
const MAX_EJECTION_MS = 15_000;
/** A server that asks for a longer backoff is probed with one request after this time. */
const MAX_BACKOFF_MS = 600_000;

/**
 * `open`: gets full traffic. `set_aside`: ejected or in backoff, gets none. `probing`: gets one
 * request at a time.
 */
export type HealthState = 'open' | 'set_aside' | 'probing';

/**
 * Ejects a backend server after consecutive failures, and probes it with one request at a time
 * before it gets full traffic again. The ejection time doubles while probes fail.
 */
export class ServerHealth {
  #consecutiveFailures = 0;
  #ejectionMs = INITIAL_EJECTION_MS;
  #ejectedUntilMs: Milliseconds | undefined;
  #isProbeInFlight = false;
  #backoffUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Whether a request that was sent after the last backoff has been served. */
  #hasServedSinceBackoff = true;

  state(nowMs: Milliseconds): HealthState {
    if (nowMs < this.#backoffUntilMs) return 'set_aside';
    if (!this.#hasServedSinceBackoff) return 'probing';
    if (this.#ejectedUntilMs === undefined) return 'open';
    return nowMs < this.#ejectedUntilMs ? 'set_aside' : 'probing';
  }

  /** Whether the server may be sent a request now. */
  isAvailable(nowMs: Milliseconds): boolean {
    const state = this.state(nowMs);
    return state === 'open' || (state === 'probing' && !this.#isProbeInFlight);
  }

  /**
   * The server asks for no requests for `forMs`. Responses to requests that were sent before do not
   * end the backoff. After the backoff, the server gets one request at a time until one is served.
   */
  onBackoffRequested(forMs: Milliseconds, nowMs: Milliseconds): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, nowMs + Math.min(forMs, MAX_BACKOFF_MS));
    this.#hasServedSinceBackoff = false;
    this.#isProbeInFlight = false;
  }

  /** Remaining time of the backoff that the server asked for; 0 if there is none. */
  remainingBackoffMs(nowMs: Milliseconds): Milliseconds {
    return Math.max(0, this.#backoffUntilMs - nowMs);
  }

  onAttempt(nowMs: Milliseconds): void {
    if (this.state(nowMs) === 'probing') this.#isProbeInFlight = true;
  }

  onSuccess(): void {
    if (this.#isProbeInFlight) this.#hasServedSinceBackoff = true;
    this.#consecutiveFailures = 0;
    this.#ejectionMs = INITIAL_EJECTION_MS;
    this.#ejectedUntilMs = undefined;
    this.#isProbeInFlight = false;
  }

  /** The attempt ended without evidence of the server's health, e.g. it was cancelled. */
  onInconclusiveEnd(): void {
    this.#isProbeInFlight = false;
  }

  /**
   * Records a failed attempt. Returns true if the server is ejected by it and was not ejected
   * before.
   */
  onFailure(nowMs: Milliseconds): boolean {
    this.#consecutiveFailures += 1;
    const wasProbe = this.#isProbeInFlight;
    this.#isProbeInFlight = false;
    if (!wasProbe && this.#consecutiveFailures < FAILURES_TO_EJECT) return false;
    if (wasProbe) this.#ejectionMs = Math.min(MAX_EJECTION_MS, this.#ejectionMs * 2);
    const isNewlyEjected = this.#ejectedUntilMs === undefined;
    this.#ejectedUntilMs = nowMs + this.#ejectionMs;
    return isNewlyEjected;
  }
}
