import { describe, expect, it } from 'vitest';
import { PROOFS } from './proofs.js';
import { runProof } from './run-proof.js';

const CI_RUNS = 3;
const CI_SEED = 1;
const TIME_LIMIT_MS = 120_000;

describe('what must always hold, a bounded part with fixed seeds', () => {
  for (const proof of PROOFS) {
    it(
      proof.promise,
      async () => {
        const bounds = { runs: CI_RUNS, seed: CI_SEED, timeLimitMs: TIME_LIMIT_MS };
        const result = await runProof(proof, bounds);
        expect(result.violations).toEqual([]);
        expect(result.runs).toBe(CI_RUNS);
      },
      TIME_LIMIT_MS,
    );
  }
});
