import type { Clock, Milliseconds } from '@poppypond/core';

/** A sleep that can be ended early. */
export class InterruptibleSleep {
  #wake: () => void = () => undefined;

  constructor(readonly clock: Clock) {}

  /** Ends the current sleep. */
  wake(): void {
    this.#wake();
  }

  /** Resolves after `forMs`, or on `wake`. */
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
