const SMOOTHING_FACTOR = 0.05;
const MIN_FACTOR = 0.25;
const MAX_FACTOR = 4;

/** Where there is no report of actual tokens yet. */
const INITIAL_FACTOR = 1;

/** The work of one request as it is known before it runs, in tokens. */
export interface WorkEstimate {
  readonly promptTokens: number;
  /** The most that it may generate. */
  readonly outputTokens: number;
}

/**
 * Corrects token counts that are estimated from text length by what engines report,
 * separately for each request class. The prompt is never tokenized here.
 */
export class TokenCorrection {
  readonly #factors = new Map<string, number>();

  /** The corrected count. */
  correct(className: string, estimatedTokens: number): number {
    const factor = this.#factors.get(className) ?? INITIAL_FACTOR;
    return Math.max(1, Math.round(estimatedTokens * factor));
  }

  /** Learns from one request whose true prompt length an engine reported. */
  observe(className: string, estimatedTokens: number, actualTokens: number): void {
    if (estimatedTokens <= 0 || actualTokens <= 0) return;
    const ratio = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, actualTokens / estimatedTokens));
    const factor = this.#factors.get(className) ?? INITIAL_FACTOR;
    this.#factors.set(className, factor + SMOOTHING_FACTOR * (ratio - factor));
  }
}
