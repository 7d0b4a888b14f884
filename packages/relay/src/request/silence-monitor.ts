import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { Choice } from './choice.js';
import { busyTimeoutMs, firstEventTimeoutMs, stallTimeoutMs } from './silence-timeouts.js';

/** What the watch needs. */
export interface SilenceMonitorParts {
  readonly clock: Clock;
  readonly route: Route;
  /** Whether a server answers a question for its state. */
  readonly isResponsive: (server: BackendServer) => Promise<boolean>;
  /** The attempt that is watched is to be given up, as this server is silent. */
  readonly onSilent: (server: BackendServer) => void;
}

/** Pause before a silent engine that lives is looked after again. */
const BUSY_RECHECK_MS: Milliseconds = 500;

/** Looks after the server of one attempt at a time, and says when it has been silent for too long. */
export class SilenceMonitor {
  #monitored: Choice | undefined;
  #lastEventAtMs: Milliseconds = 0;
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: SilenceMonitorParts) {}

  /** Begins with an attempt that starts now, in place of any other. */
  begin(choice: Choice, timeLeftMs: Milliseconds): void {
    this.#monitored = choice;
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#checkAfter(firstEventTimeoutMs(choice.plan?.stream, timeLeftMs));
  }

  /** The server has sent events. */
  onEvents(): void {
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#checkAfter(stallTimeoutMs(this.parts.route.gapAimMs));
  }

  /** Ends; nothing where nothing is watched. */
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

  /** An engine that answers a question for its state is only busy; reading anew would not help. */
  async #onSilence(): Promise<void> {
    const silent = this.#monitored;
    if (!silent) return;
    const isBusy = this.#mayBeBusy(silent) && (await this.parts.isResponsive(silent.server));
    if (this.#monitored !== silent) return;
    if (isBusy) this.#checkAfter(BUSY_RECHECK_MS);
    else this.parts.onSilent(silent.server);
  }

  #mayBeBusy({ plan }: Choice): boolean {
    const silentMs = this.parts.clock.monotonicMs() - this.#lastEventAtMs;
    return plan !== undefined && silentMs < busyTimeoutMs(this.parts.route, plan.stream);
  }
}
