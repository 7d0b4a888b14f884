/**
 * Bounds retries to a share of first attempts, so that retries never multiply an overload.
 * Each first attempt earns `share` of a retry; at most `reserve` are saved up.
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

  /** Takes one retry if there is one. */
  tryTake(): boolean {
    if (this.#availableRetries < 1) return false;
    this.#availableRetries -= 1;
    return true;
  }
}
