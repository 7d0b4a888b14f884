import type { Clock, Milliseconds } from '@poppypond/core';

/** `draining`: still serves, but says that it isn't ready, so that the balancer leaves it. */
export type LifecycleState = 'starting' | 'serving' | 'draining' | 'closed_to_new' | 'stopped';

/** Where this process is between start and stop, and what it still has to finish. */
export class Lifecycle {
  #state: LifecycleState = 'starting';
  #inProgress = 0;
  #onIdle: (() => void) | undefined;

  constructor(readonly clock: Clock) {}

  get state(): LifecycleState {
    return this.#state;
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  get isStopping(): boolean {
    return this.#state !== 'starting' && this.#state !== 'serving';
  }

  get acceptsRequests(): boolean {
    return this.#state === 'serving' || this.#state === 'draining';
  }

  onServing(): void {
    if (this.#state === 'starting') this.#state = 'serving';
  }

  /** Counts a request; call the result once when it has ended. */
  begin(): () => void {
    this.#inProgress += 1;
    let isEnded = false;
    return () => {
      if (isEnded) return;
      isEnded = true;
      this.#inProgress -= 1;
      if (this.#inProgress === 0) this.#onIdle?.();
    };
  }

  /** Leaves the balancer, then takes nothing new, then resolves when all requests have ended. */
  async drain(drainDelayMs: Milliseconds): Promise<void> {
    this.#state = 'draining';
    await new Promise<void>((resolve) => {
      this.clock.after(drainDelayMs, resolve);
    });
    this.#state = 'closed_to_new';
    if (this.#inProgress > 0) {
      await new Promise<void>((resolve) => {
        this.#onIdle = resolve;
      });
    }
    this.#state = 'stopped';
  }
}
