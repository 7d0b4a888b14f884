import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * `draining`: still accepts requests but reports not ready, so that the load balancer removes this
 * host. `closed_to_new`: accepts no new requests.
 */
export type LifecycleState = 'starting' | 'serving' | 'draining' | 'closed_to_new' | 'stopped';

/** State of this process between start and stop, with the number of requests in progress. */
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

  /** Counts a request as in progress until the returned function is first called. */
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

  /**
   * Reports not ready to the load balancer for `drainDelayMs`, then accepts no new requests, and
   * resolves when all requests have ended.
   */
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
