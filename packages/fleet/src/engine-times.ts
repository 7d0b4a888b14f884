import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';

const TOKENS_PER_THOUSAND = 1000;
const PAIRS_PER_MILLION = 1_000_000;

/** Time that the tokens of a prompt and their pairs take by themselves, on one engine. */
export function prefillComputeMs(figures: EngineFigures, tokens: number): Milliseconds {
  const pairs = (tokens * tokens) / 2;
  const pairsMs = (pairs / PAIRS_PER_MILLION) * figures.prefillMsPerMillionPairs;
  return tokens / figures.prefillTokensPerMs + pairsMs;
}

/** Time to read a prompt of `tokens` on one engine, the steps in which it is taken in included. */
export function prefillTimeMs(figures: EngineFigures, tokens: number): Milliseconds {
  const steps = tokens / figures.prefillTokensPerStep;
  return prefillComputeMs(figures, tokens) + steps * figures.stepMs;
}

/** Time of one pass in which `writers` with `contextTokens` in all write and nothing is read. */
export function passTimeMs(
  figures: EngineFigures,
  writers: number,
  contextTokens: number,
): Milliseconds {
  const context = (contextTokens / TOKENS_PER_THOUSAND) * figures.stepMsPerThousandTokens;
  return figures.stepsPerPass * (figures.stepMs + writers * figures.stepMsPerSequence + context);
}
