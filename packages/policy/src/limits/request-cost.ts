/**
 * Cost of one output token relative to one prompt token. Output costs more because it is generated
 * one step at a time; the ratio of five is that of the paper cited in docs/DESIGN.md.
 */
export const OUTPUT_WEIGHT = 5;

/** Cost of a request in units; a prompt token costs one unit. */
export function requestCost(promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_WEIGHT * outputTokens;
}
