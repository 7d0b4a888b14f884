import { describe, expect, it } from 'vitest';
import { SCENARIOS } from './scenarios.js';
import { runScenario } from './run-scenario.js';

const CI_RUNS = 3;
const CI_SEED = 1;
const TIME_LIMIT_MS = 120_000;

describe('guarantees under injected faults, in a few runs with fixed seeds', () => {
  for (const scenario of SCENARIOS) {
    it(
      scenario.guarantee,
      async () => {
        const bounds = { runs: CI_RUNS, seed: CI_SEED, timeLimitMs: TIME_LIMIT_MS };
        const result = await runScenario(scenario, bounds);
        expect(result.violations).toEqual([]);
        expect(result.runs).toBe(CI_RUNS);
      },
      TIME_LIMIT_MS,
    );
  }
});
