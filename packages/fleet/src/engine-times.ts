import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';

const TOKENS_PER_THOUSAND = 1000;
const PAIRS_PER_MILLION = 1_000_000;

/**
 * Returns the time to process the tokens of a prompt and their attention pairs on one engine,
 * without step overhead.
 */
export function prefillComputeMs(figures: EngineFigures, tokens: number): Milliseconds {
  const pairs = (tokens * tokens) / 2;
  const pairsMs = (pairs / PAIRS_PER_MILLION) * figures.prefillMsPerMillionPairs;
  return tokens / figures.prefillTokensPerMs + pairsMs;
}

/**
 * Returns the time to prefill a prompt of `tokens` on one engine, including the overhead of its
 * steps.
 */
export function prefillTimeMs(figures: EngineFigures, tokens: number): Milliseconds {
  const steps = tokens / figures.prefillTokensPerStep;
  return prefillComputeMs(figures, tokens) + steps * figures.stepMs;
}

/**
 * Returns the time of one decode pass without prefill, for `writers` sequences with `contextTokens`
 * in total.
 */
export function passTimeMs(
  figures: EngineFigures,
  writers: number,
  contextTokens: number,
): Milliseconds {
  const context = (contextTokens / TOKENS_PER_THOUSAND) * figures.stepMsPerThousandTokens;
  return figures.stepsPerPass * (figures.stepMs + writers * figures.stepMsPerSequence + context);
}

/** Returns the figures of an engine that takes `slowdown` times as long for everything. */
export function slowedFigures(figures: EngineFigures, slowdown: number): EngineFigures {
  return {
    ...figures,
    stepMs: figures.stepMs * slowdown,
    stepMsPerSequence: figures.stepMsPerSequence * slowdown,
    stepMsPerThousandTokens: figures.stepMsPerThousandTokens * slowdown,
    prefillTokensPerMs: figures.prefillTokensPerMs / slowdown,
    prefillMsPerMillionPairs: figures.prefillMsPerMillionPairs * slowdown,
  };
}
