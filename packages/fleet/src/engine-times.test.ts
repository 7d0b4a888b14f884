import { describe, expect, it } from 'vitest';
import { prefillTimeMs } from './engine-times.js';

const FIGURES = {
  slots: 11,
  memoryTokens: 405_000,
  stepsPerPass: 34,
  stepMs: 1.31,
  stepMsPerSequence: 0.000917,
  stepMsPerThousandTokens: 0.00213,
  prefillTokensPerMs: 154,
  prefillTokensPerStep: 2048,
  prefillMsPerMillionPairs: 0.162,
  usualAnswerTokens: 1300,
};

describe('prefillTimeMs', () => {
  // First-event times of long prompts that were prefilled alone in a benchmark run; network hops
  // add about 8 ms.
  it.each([
    [117_522, 1963],
    [147_163, 2809],
    [182_851, 4023],
    [247_625, 6745],
  ])('matches the measured time of an engine to prefill %i tokens', (tokens, measuredMs) => {
    expect(Math.abs(prefillTimeMs(FIGURES, tokens) + 8 - measuredMs)).toBeLessThan(8);
  });
});
