const BASE_VALUE = 1;
const TOKENS_PER_VALUE = 10_000;

/**
 * What an in-time answer is worth, against others: callers of long prompts wait for more work.
 * Fits the worth that the first two users give their kinds of request (1.3, 3.1 and 22 for
 * 5,000, 45,000 and 210,000 tokens) within a factor of two.
 */
export function streamValue(contextTokens: number): number {
  return BASE_VALUE + contextTokens / TOKENS_PER_VALUE;
}
