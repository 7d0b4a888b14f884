import type { Clock, Milliseconds } from '@poppypond/core';
import type { PlanAnswer } from './plan-request.js';

/** Queue of the answers to one request, in order of arrival. */
export class AnswerQueue {
  readonly #answers: PlanAnswer[] = [];
  #wake: () => void = () => undefined;

  constructor(readonly clock: Clock) {}

  /** Adds an answer. */
  push(answer: PlanAnswer): void {
    this.#answers.push(answer);
    this.#wake();
  }

  /** Resolves with the next answer; undefined if none arrives within `waitMs`. */
  next(waitMs: Milliseconds): Promise<PlanAnswer | undefined> {
    if (this.#answers.length > 0) return Promise.resolve(this.#answers.shift());
    return new Promise((resolve) => {
      const cancel = this.clock.after(waitMs, () => {
        this.#wake = () => undefined;
        resolve(undefined);
      });
      this.#wake = () => {
        this.#wake = () => undefined;
        cancel();
        resolve(this.#answers.shift());
      };
    });
  }
}
