import { answerToken, hashText, CHARACTERS_PER_TOKEN } from '@poppypond/hashing';

const WORDS = 'unit holder balance ledger tariff meter reading clause annex payment account total ';

/** A prompt of this many tokens that starts with `head` and shares the rest with all others. */
export function makePrompt(prefix: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const body = WORDS.repeat(Math.ceil(Math.max(0, length - prefix.length) / WORDS.length));
  return (prefix + body).slice(0, length);
}

/** The text that the engine stand-in answers to a prompt with. */
export function expectedAnswer(prompt: string, tokens: number): string {
  const chain = hashText(prompt);
  return Array.from({ length: tokens }, (_, index) => answerToken(chain, index)).join('');
}
