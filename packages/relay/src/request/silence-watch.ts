import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { Choice } from './choice.js';
import { busyPatienceMs, firstPatienceMs, stallPatienceMs } from './patience.js';

/** What the watch needs. */
export interface SilenceWatchParts {
  readonly clock: Clock;
  readonly route: Route;
  /** Whether a server answers a question for its state. */
  readonly isAlive: (server: BackendServer) => Promise<boolean>;
  /** The attempt that is watched is to be given up, as this server is silent. */
  readonly onSilent: (server: BackendServer) => void;
}

/** Pause before a silent engine that lives is looked after again. */
const BUSY_LOOK_AGAIN_MS: Milliseconds = 500;

/** Looks after the server of one attempt at a time, and says when it has been silent for too long. */
export class SilenceWatch {
  #watched: Choice | undefined;
  #lastEventAtMs: Milliseconds = 0;
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: SilenceWatchParts) {}

  /** Begins with an attempt that starts now, in place of any other. */
  begin(choice: Choice, timeLeftMs: Milliseconds): void {
    this.#watched = choice;
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#lookAfter(firstPatienceMs(choice.plan?.stream, timeLeftMs));
  }

  /** The server has sent events. */
  onEvents(): void {
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#lookAfter(stallPatienceMs(this.parts.route.gapAimMs));
  }

  /** Ends; nothing where nothing is watched. */
  end(): void {
    this.#watched = undefined;
    this.#cancel();
  }

  #lookAfter(patienceMs: Milliseconds): void {
    this.#cancel();
    this.#cancel = this.parts.clock.after(patienceMs, () => {
      void this.#onSilence();
    });
  }

  /** An engine that answers a question for its state is only busy; reading anew would not help. */
  async #onSilence(): Promise<void> {
    const silent = this.#watched;
    if (!silent) return;
    const isBusy = this.#mayBeBusy(silent) && (await this.parts.isAlive(silent.server));
    if (this.#watched !== silent) return;
    if (isBusy) this.#lookAfter(BUSY_LOOK_AGAIN_MS);
    else this.parts.onSilent(silent.server);
  }

  #mayBeBusy({ plan }: Choice): boolean {
    const silentMs = this.parts.clock.monotonicMs() - this.#lastEventAtMs;
    return plan !== undefined && silentMs < busyPatienceMs(this.parts.route, plan.stream);
  }
}
