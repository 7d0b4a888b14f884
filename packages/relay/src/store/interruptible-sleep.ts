import type { Clock, Milliseconds } from '@poppypond/core';

/** A pause that ends early when there is something to do. */
export class InterruptibleSleep {
  #wake: () => void = () => undefined;

  constructor(readonly clock: Clock) {}

  /** Ends the present pause. */
  wake(): void {
    this.#wake();
  }

  /** Resolves after `forMs`, or when woken. */
  sleep(forMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const cancel = this.clock.after(forMs, resolve);
      this.#wake = () => {
        cancel();
        resolve();
      };
    });
  }
}
