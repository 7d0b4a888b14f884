import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { passTimeMs, prefillTimeMs } from '../engine-times.js';

/** The size of a request. */
export interface RequestSize {
  readonly promptTokens: number;
  /** The most that may be generated; 0 if the caller does not state it. */
  readonly answerTokens: number;
}

/**
 * Returns the time for which a request keeps one engine busy: its prefill, and the share of one slot
 * of its decode time. The memory that it takes is not counted: engines prefill parts for others
 * while their memory is full.
 */
export function engineTimeMs(
  figures: EngineFigures,
  { promptTokens, answerTokens }: RequestSize,
): Milliseconds {
  const { usualAnswerTokens } = figures;
  // Most answers end well before the most that may be generated.
  const answer = answerTokens === 0 ? usualAnswerTokens : Math.min(answerTokens, usualAnswerTokens);
  const passMs = passTimeMs(figures, 1, promptTokens + answer);
  const decodeMs = (answer / figures.stepsPerPass) * passMs;
  return prefillTimeMs(figures, promptTokens) + decodeMs / figures.slots;
}
