import type { Milliseconds } from '@poppypond/core';

const FAILURES_TO_SET_ASIDE = 3;
const FIRST_PAUSE_MS = 500;
const LONGEST_PAUSE_MS = 15_000;
/** A server that asks for a longer rest is sent one request after this. */
const LONGEST_REST_MS = 600_000;

/** `open`: takes work. `set_aside`: takes none. `probing`: takes one request at a time. */
export type HealthState = 'open' | 'set_aside' | 'probing';

/**
 * Sets a backend server aside after failures in a row, and lets it prove itself with one
 * request at a time before it gets full traffic again. The pause doubles while probes fail.
 */
export class ServerHealth {
  #failures = 0;
  #pauseMs = FIRST_PAUSE_MS;
  #asideUntilMs: Milliseconds | undefined;
  #isProbeOut = false;
  #restUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Whether a request was served that was sent after the last rest. */
  #isRestProved = true;

  state(nowMs: Milliseconds): HealthState {
    if (nowMs < this.#restUntilMs) return 'set_aside';
    if (!this.#isRestProved) return 'probing';
    if (this.#asideUntilMs === undefined) return 'open';
    return nowMs < this.#asideUntilMs ? 'set_aside' : 'probing';
  }

  /** Whether a request may go there now. */
  isAvailable(nowMs: Milliseconds): boolean {
    const state = this.state(nowMs);
    return state === 'open' || (state === 'probing' && !this.#isProbeOut);
  }

  /**
   * The server itself wants nothing for `forMs`. What was sent before and is served meanwhile doesn't end the rest,
   * after which one request at a time goes there until one is served.
   */
  onBackoffRequested(forMs: Milliseconds, nowMs: Milliseconds): void {
    this.#restUntilMs = Math.max(this.#restUntilMs, nowMs + Math.min(forMs, LONGEST_REST_MS));
    this.#isRestProved = false;
    this.#isProbeOut = false;
  }

  /** How long it rests still by its own word; 0 where it does not. */
  remainingBackoffMs(nowMs: Milliseconds): Milliseconds {
    return Math.max(0, this.#restUntilMs - nowMs);
  }

  onAttempt(nowMs: Milliseconds): void {
    if (this.state(nowMs) === 'probing') this.#isProbeOut = true;
  }

  onSuccess(): void {
    if (this.#isProbeOut) this.#isRestProved = true;
    this.#failures = 0;
    this.#pauseMs = FIRST_PAUSE_MS;
    this.#asideUntilMs = undefined;
    this.#isProbeOut = false;
  }

  /** The attempt ended without saying anything about the server, e.g. it was cancelled. */
  onInconclusiveEnd(): void {
    this.#isProbeOut = false;
  }

  /** Notes a failure; true where the server is set aside by it. */
  onFailure(nowMs: Milliseconds): boolean {
    this.#failures += 1;
    const wasProbe = this.#isProbeOut;
    this.#isProbeOut = false;
    if (!wasProbe && this.#failures < FAILURES_TO_SET_ASIDE) return false;
    if (wasProbe) this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
    const isNew = this.#asideUntilMs === undefined;
    this.#asideUntilMs = nowMs + this.#pauseMs;
    return isNew;
  }
}
