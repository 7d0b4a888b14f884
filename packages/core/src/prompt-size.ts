/** Sizes of prompts by which metrics and accounts are divided. */
export type PromptSize = 'short' | 'middle' | 'long';

const MIDDLE_PROMPT_TOKENS = 20_000;
const LONG_PROMPT_TOKENS = 100_000;

/** The size of a prompt of so many tokens. */
export function promptSizeOf(promptTokens: number): PromptSize {
  if (promptTokens >= LONG_PROMPT_TOKENS) return 'long';
  return promptTokens >= MIDDLE_PROMPT_TOKENS ? 'middle' : 'short';
}
