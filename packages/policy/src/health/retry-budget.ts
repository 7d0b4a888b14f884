/**
 * Bounds retries to a ratio of first attempts, so that retries never multiply an overload.
 * Each first attempt adds `share` of a retry to the budget, which holds at most `reserve` retries.
 */
export class RetryBudget {
  #availableRetries: number;

  constructor(
    readonly share: number,
    readonly reserve: number,
  ) {
    this.#availableRetries = reserve;
  }

  onFirstAttempt(): void {
    this.#availableRetries = Math.min(this.reserve, this.#availableRetries + this.share);
  }

  /** Takes one retry from the budget. Returns false if none is available. */
  tryTake(): boolean {
    if (this.#availableRetries < 1) return false;
    this.#availableRetries -= 1;
    return true;
  }
}
