const SMOOTHING_FACTOR = 0.05;
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;

/** Used until an engine has reported an actual token count. */
const INITIAL_FACTOR = 1;

/** Estimated work of a request before it runs, in tokens. */
export interface WorkEstimate {
  readonly promptTokens: number;
  /** Upper bound of the generated tokens. */
  readonly outputTokens: number;
}

/**
 * Corrects token counts that are estimated from the text length, with a factor for each request
 * class that is learned from the counts that engines report. Prompts are never tokenized here.
 */
export class TokenCorrection {
  readonly #factors = new Map<string, number>();

  /** Returns the corrected count, at least 1. */
  correct(className: string, estimatedTokens: number): number {
    const factor = this.#factors.get(className) ?? INITIAL_FACTOR;
    return Math.max(1, Math.round(estimatedTokens * factor));
  }

  /** Updates the factor of a class from a request whose actual prompt length an engine reported. */
  observe(className: string, estimatedTokens: number, actualTokens: number): void {
    if (estimatedTokens <= 0 || actualTokens <= 0) return;
    const ratio = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, actualTokens / estimatedTokens));
    const factor = this.#factors.get(className) ?? INITIAL_FACTOR;
    this.#factors.set(className, factor + SMOOTHING_FACTOR * (ratio - factor));
  }
}
