/**
 * Bounds retries to a ratio of first attempts, so that retries never multiply an overload.
 * Each first attempt adds `share` of a retry to the budget, which holds at most `reserve` retries.
 */
export class RetryBudget {
  /** Retries that are available now. */
  #saved: number;

  constructor(
    readonly share: number,
    readonly reserve: number,
  ) {
    this.#saved = reserve;
  }

  onFirstAttempt(): void {
    this.#saved = Math.min(this.reserve, this.#saved + this.share);
  }

  /** Takes one retry from the budget. Returns false if none is available. */
  tryTake(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
