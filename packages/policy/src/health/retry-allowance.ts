/**
 * Bounds retries to a share of first attempts, so that retries never multiply an overload.
 * Each first attempt earns `share` of a retry; at most `reserve` are saved up.
 */
export class RetryBudget {
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

  /** Takes one retry if there is one. */
  tryTake(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
