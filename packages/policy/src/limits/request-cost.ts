/**
 * Cost of one generated token in units of one prompt token. Output costs more because it is
 * generated one step at a time; five is the ratio that the paper in docs/DESIGN.md gives.
 */
export const OUTPUT_WEIGHT = 5;

/** Cost units of a request. */
export function requestCost(promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_WEIGHT * outputTokens;
}
