import { answerToken, hashText, CHARACTERS_PER_TOKEN } from '@poppypond/hashing';

const WORDS = 'unit holder balance ledger tariff meter reading clause annex payment account total ';

/** Builds a prompt of `tokens` tokens: `prefix`, then text that all prompts share. */
export function makePrompt(prefix: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const body = WORDS.repeat(Math.ceil(Math.max(0, length - prefix.length) / WORDS.length));
  return (prefix + body).slice(0, length);
}

/** Returns the first `tokens` tokens of the fake engine's answer to a prompt. */
export function expectedAnswer(prompt: string, tokens: number): string {
  const chain = hashText(prompt);
  return Array.from({ length: tokens }, (_, index) => answerToken(chain, index)).join('');
}
