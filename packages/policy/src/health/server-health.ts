import type { Milliseconds } from '@poppypond/core';

const FAILURES_TO_EJECT = 3;
const INITIAL_EJECTION_MS = 500;
const MAX_EJECTION_MS = 15_000;
/** A server that asks for a longer rest is sent one request after this. */
const MAX_BACKOFF_MS = 600_000;

/** `open`: takes work. `set_aside`: takes none. `probing`: takes one request at a time. */
export type HealthState = 'open' | 'set_aside' | 'probing';

/**
 * Sets a backend server aside after failures in a row, and lets it prove itself with one
 * request at a time before it gets full traffic again. The pause doubles while probes fail.
 */
export class ServerHealth {
  #consecutiveFailures = 0;
  #ejectionMs = INITIAL_EJECTION_MS;
  #ejectedUntilMs: Milliseconds | undefined;
  #isProbeInFlight = false;
  #backoffUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Whether a request was served that was sent after the last rest. */
  #hasServedSinceBackoff = true;

  state(nowMs: Milliseconds): HealthState {
    if (nowMs < this.#backoffUntilMs) return 'set_aside';
    if (!this.#hasServedSinceBackoff) return 'probing';
    if (this.#ejectedUntilMs === undefined) return 'open';
    return nowMs < this.#ejectedUntilMs ? 'set_aside' : 'probing';
  }

  /** Whether a request may go there now. */
  isAvailable(nowMs: Milliseconds): boolean {
    const state = this.state(nowMs);
    return state === 'open' || (state === 'probing' && !this.#isProbeInFlight);
  }

  /**
   * The server itself wants nothing for `forMs`. What was sent before and is served meanwhile doesn't end the rest,
   * after which one request at a time goes there until one is served.
   */
  onBackoffRequested(forMs: Milliseconds, nowMs: Milliseconds): void {
    this.#backoffUntilMs = Math.max(this.#backoffUntilMs, nowMs + Math.min(forMs, MAX_BACKOFF_MS));
    this.#hasServedSinceBackoff = false;
    this.#isProbeInFlight = false;
  }

  /** How long it rests still by its own word; 0 where it does not. */
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

  /** The attempt ended without saying anything about the server, e.g. it was cancelled. */
  onInconclusiveEnd(): void {
    this.#isProbeInFlight = false;
  }

  /** Notes a failure; true where the server is set aside by it. */
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
