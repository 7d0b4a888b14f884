import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { Choice } from './choice.js';
import { busyTimeoutMs, firstEventTimeoutMs, stallTimeoutMs } from './silence-timeouts.js';

/** Dependencies of `SilenceWatch`. */
export interface SilenceWatchParts {
  readonly clock: Clock;
  readonly route: Route;
  /** Whether a server answers a status query. */
  readonly isResponsive: (server: BackendServer) => Promise<boolean>;
  /** Whether the connection of the monitored attempt is lost, whatever the server does. */
  readonly isConnectionLost: (server: BackendServer) => boolean;
  /**
   * Called when the monitored attempt is to be abandoned because this server is silent. Returns
   * whether the attempt ends; otherwise the server is checked again later.
   */
  readonly onSilent: (server: BackendServer) => boolean;
}

/**
 * Delay before a silent engine is checked again that answered a status query, or whose attempt
 * could not be abandoned.
 */
const BUSY_RECHECK_MS: Milliseconds = 500;

/**
 * Monitors the server of one attempt at a time and reports when it has been silent for too long.
 */
export class SilenceWatch {
  #monitored: Choice | undefined;
  #lastEventAtMs: Milliseconds = 0;
  /** Whether the monitored attempt was reported and goes on, as no retry was allowed. */
  #isKept = false;
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: SilenceWatchParts) {}

  /** Starts monitoring an attempt that begins now, in place of any other. */
  begin(choice: Choice, timeLeftMs: Milliseconds): void {
    this.#monitored = choice;
    this.#isKept = false;
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#checkAfter(firstEventTimeoutMs(choice.plan?.stream, timeLeftMs));
  }

  /** Records that the server has sent events. */
  onEvents(): void {
    this.#isKept = false;
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#checkAfter(stallTimeoutMs(this.parts.route.gapAimMs));
  }

  /** Stops monitoring; does nothing if nothing is monitored. */
  end(): void {
    this.#monitored = undefined;
    this.#cancel();
  }

  #checkAfter(timeoutMs: Milliseconds): void {
    this.#cancel();
    this.#cancel = this.parts.clock.after(timeoutMs, () => {
      void this.#onSilence();
    });
  }

  /**
   * Checks a silent server. An engine that answers a status query is only busy, and a new prefill
   * elsewhere would not help.
   */
  async #onSilence(): Promise<void> {
    const silent = this.#monitored;
    if (!silent) return;
    const { isConnectionLost, isResponsive } = this.parts;
    const isBusy =
      !isConnectionLost(silent.server) &&
      this.#mayBeBusy(silent) &&
      (await isResponsive(silent.server));
    if (this.#monitored !== silent) return;
    if (isBusy) {
      this.#checkAfter(BUSY_RECHECK_MS);
      return;
    }
    this.#isKept = !this.parts.onSilent(silent.server);
    // A plain server answers no status query, so it may only be slow; its late answer is awaited.
    if (this.#isKept && silent.plan !== undefined) this.#checkAfter(BUSY_RECHECK_MS);
  }

  #mayBeBusy({ plan }: Choice): boolean {
    const silentMs = this.parts.clock.monotonicMs() - this.#lastEventAtMs;
    if (plan === undefined) return false;
    return this.#isKept || silentMs < busyTimeoutMs(this.parts.route, plan.stream);
  }
}
