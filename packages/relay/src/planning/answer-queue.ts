import type { Clock, Milliseconds } from '@poppypond/core';
import type { PlanAnswer } from './plan-request.js';

/** Answers to one request, in the order in which they come. */
export class AnswerQueue {
  readonly #answers: PlanAnswer[] = [];
  #wake: () => void = () => undefined;

  constructor(readonly clock: Clock) {}

  /** Takes an answer in. */
  push(answer: PlanAnswer): void {
    this.#answers.push(answer);
    this.#wake();
  }

  /** The next answer; undefined if none comes within `waitMs`. */
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
