import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { EngineState } from '../engine-load.js';
import { MAX_GROUP_SIZE, planGroup } from './group-plan.js';

const BLOCK_TOKENS = 1024;
const MARGIN = 0.02;

function engines(held: readonly number[]): readonly EngineState[] {
  return held.map((heldTokens, index) => ({
    id: `engine-${String(index)}`,
    zone: 'a',
    kvTokens: 400_000,
    heldTokens,
    running: 0,
    decoding: 0,
    prefillByPriority: [],
    prefillTokens: 0,
    prefillTokensPerMs: 100,
    role: 'any',
    models: {},
    reportAgeMs: 0,
  }));
}

describe('planGroup', () => {
  it('splits a prompt larger than two engines over three engines, in order', () => {
    const plan = planGroup(950_000, 500, engines([0, 300_000, 0, 0]), BLOCK_TOKENS, MARGIN);
    expect(plan?.map((part) => part.engineId)).toEqual(['engine-0', 'engine-2', 'engine-3']);
  });

  it('finds a plan if the prompt fills two engines and leaves no room for the output', () => {
    const smallEngines = engines([0, 0, 0, 0]).map((state) => ({ ...state, kvTokens: 40_000 }));
    const plan = planGroup(77_146, 16, smallEngines, BLOCK_TOKENS, MARGIN);
    expect(plan).toHaveLength(3);
    expect(plan?.every(({ tokens }) => tokens > 16)).toBe(true);
  });

  it('finds a plan for every prompt that fits the free memory', () => {
    const held = fc.array(fc.integer({ min: 0, max: 380_000 }), { minLength: 1, maxLength: 8 });
    const answers = fc.integer({ min: 1, max: 15 * BLOCK_TOKENS });
    fc.assert(
      fc.property(held, answers, fc.nat(2_000_000), (holdings, answer, prompt) => {
        const free = holdings
          .map((tokens) => Math.floor((400_000 * (1 - MARGIN) - tokens) / BLOCK_TOKENS))
          .filter((blocks) => blocks >= 16);
        const freeBlocks = free.reduce((sum, blocks) => sum + blocks, 0);
        const neededBlocks = Math.ceil(prompt / BLOCK_TOKENS) + Math.ceil(answer / BLOCK_TOKENS);
        fc.pre(prompt > 0 && neededBlocks <= freeBlocks);
        expect(planGroup(prompt, answer, engines(holdings), BLOCK_TOKENS, MARGIN)).toBeDefined();
      }),
      { seed: 14, numRuns: 1000 },
    );
  });

  it('never reserves more than is free, and covers the whole prompt', () => {
    const held = fc.array(fc.integer({ min: 0, max: 400_000 }), { minLength: 1, maxLength: 12 });
    const tokens = fc.integer({ min: 1, max: 3_000_000 });
    fc.assert(
      fc.property(held, tokens, fc.integer({ min: 1, max: 4096 }), (holdings, prompt, output) => {
        const states = engines(holdings);
        const plan = planGroup(prompt, output, states, BLOCK_TOKENS, MARGIN);
        if (!plan) return;
        expect(plan.length).toBeLessThanOrEqual(MAX_GROUP_SIZE);
        expect(plan.reduce((sum, part) => sum + part.tokens, 0)).toBe(prompt + output);
        const order = plan.map((part) => states.findIndex(({ id }) => id === part.engineId));
        expect(order).toEqual([...order].sort((a, b) => a - b));
        plan.forEach((part, index) => {
          const state = states[order[index] ?? 0];
          const free = 400_000 * (1 - MARGIN) - (state?.heldTokens ?? 0);
          expect(part.tokens).toBeLessThanOrEqual(free);
          if (index < plan.length - 1) expect(part.tokens % BLOCK_TOKENS).toBe(0);
        });
      }),
      { seed: 13, numRuns: 500 },
    );
  });
});
