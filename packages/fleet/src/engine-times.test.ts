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

describe('readTimeMs', () => {
  // First events of long prompts that were read alone on a bench day; hops take some 8 ms more.
  it.each([
    [117_522, 1963],
    [147_163, 2809],
    [182_851, 4023],
    [247_625, 6745],
  ])('foresees what an engine took to read %i tokens', (tokens, tookMs) => {
    expect(Math.abs(prefillTimeMs(FIGURES, tokens) + 8 - tookMs)).toBeLessThan(8);
  });
});
