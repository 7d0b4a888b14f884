/** Size classes of prompts, by which metrics and reports are broken down. */
export type PromptSize = 'short' | 'middle' | 'long';

const MIDDLE_PROMPT_TOKENS = 20_000;
const LONG_PROMPT_TOKENS = 100_000;

/** Returns the size class of a prompt. */
export function promptSizeOf(promptTokens: number): PromptSize {
  if (promptTokens >= LONG_PROMPT_TOKENS) return 'long';
  return promptTokens >= MIDDLE_PROMPT_TOKENS ? 'middle' : 'short';
}
