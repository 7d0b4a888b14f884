import { describe, expect, it } from 'vitest';
import { EngineLoad } from './engine-load.js';
import type { LoadReport } from './engine-load.js';
import { RetryBudget } from './health/retry-budget.js';
import { ServerHealth } from './health/server-health.js';
import { chooseLaneSplit, laneOf, SINGLE_LANE, shortEngineCount } from './lanes/lanes.js';
import { SizeHistogram } from './lanes/size-histogram.js';
import { shareToRequest, shareToTransfer } from './limits/share-split.js';
import { PrefixIndex } from './prefix-index.js';
import { checkAdmission } from './waiting/admission.js';

function report(more: Partial<LoadReport> = {}): LoadReport {
  return {
    sequence: 1,
    seen: 0,
    running: 0,
    decoding: 0,
    waiting: 0,
    prefillByPriority: [],
    heldTokens: 0,
    kvTokens: 400_000,
    role: 'any',
    isLeaving: false,
    models: {},
    ...more,
  };
}

describe('EngineLoad', () => {
  it('adds own dispatches that the report does not include, each once', () => {
    const load = new EngineLoad('e', 'a', 100);
    load.onReport(report(), 0);
    const first = load.onDispatch({ prefillTokens: 5000, heldTokens: 6000, priority: 5 }, 10);
    load.onDispatch({ prefillTokens: 1000, heldTokens: 1500, priority: 5 }, 20);
    expect(load.state(30)).toMatchObject({ prefillTokens: 6000, heldTokens: 7500 });
    load.onReport(
      report({ seen: first, heldTokens: 6000, prefillByPriority: [0, 0, 0, 0, 0, 2000] }),
      40,
    );
    expect(load.state(50)).toMatchObject({
      prefillTokens: 3000,
      heldTokens: 7500,
      reportAgeMs: 10,
    });
  });
});

describe('EngineLoad prefill rate', () => {
  it('ignores small samples, which show the time of a step and not the rate', () => {
    const load = new EngineLoad('e', 'a', 100);
    load.onReport(report(), 0);
    const smallDispatch = load.onDispatch({ prefillTokens: 2000, heldTokens: 0, priority: 5 }, 0);
    load.onFirstToken(smallDispatch, 2);
    expect(load.state(2).prefillTokensPerMs).toBe(100);
    const largeDispatch = load.onDispatch(
      { prefillTokens: 20_000, heldTokens: 0, priority: 5 },
      10,
    );
    load.onFirstToken(largeDispatch, 120);
    expect(load.state(120).prefillTokensPerMs).toBeCloseTo(110);
  });
});

describe('lanes', () => {
  it('assigns a few engines to short requests and the rest to long ones, by work', () => {
    const sizes = new SizeHistogram();
    for (let index = 0; index < 980; index += 1) sizes.observe(1500);
    for (let index = 0; index < 20; index += 1) sizes.observe(400_000);
    const split = chooseLaneSplit(sizes.buckets(), 0.6);
    expect(laneOf(1500, split)).toBe('short');
    expect(laneOf(400_000, split)).toBe('long');
    const short = shortEngineCount(12, split);
    expect(short).toBeGreaterThanOrEqual(2);
    expect(short).toBeLessThanOrEqual(6);
  });

  it('keeps a single lane if the requests are alike or few', () => {
    const sizes = new SizeHistogram();
    sizes.observe(1000);
    expect(chooseLaneSplit(sizes.buckets(), 0.5)).toEqual(SINGLE_LANE);
    expect(shortEngineCount(12, SINGLE_LANE)).toBe(0);
  });
});

describe('ServerHealth', () => {
  it('ejects a failing server, probes it with one request, then sends it full traffic', () => {
    const health = new ServerHealth();
    expect([health.onFailure(0), health.onFailure(0), health.onFailure(0)]).toEqual([
      false,
      false,
      true,
    ]);
    expect(health.isAvailable(100)).toBe(false);
    expect(health.isAvailable(600)).toBe(true);
    health.onAttempt(600);
    expect(health.isAvailable(600)).toBe(false);
    health.onFailure(700);
    expect(health.isAvailable(1600)).toBe(false);
    expect(health.isAvailable(1800)).toBe(true);
    health.onAttempt(1800);
    health.onSuccess();
    expect(health.state(1800)).toBe('open');
  });
});

describe('RetryBudget', () => {
  it('bounds retries to a ratio of first attempts', () => {
    const budget = new RetryBudget(0.1, 3);
    let retries = 0;
    for (let attempt = 0; attempt < 1000; attempt += 1) {
      budget.onFirstAttempt();
      if (budget.tryTake()) retries += 1;
    }
    expect(retries).toBeLessThanOrEqual(103);
  });
});

describe('PrefixIndex', () => {
  it('is empty after a gap until the next full list', () => {
    const index = new PrefixIndex();
    index.apply({ sequence: 4, all: ['a', 'b'] });
    expect(index.cachedTokens(['a', 'b', 'c'])).toBe(2048);
    expect(index.apply({ sequence: 6, added: ['c'], removed: [] })).toBe(false);
    expect(index.cachedTokens(['a', 'b', 'c'])).toBe(0);
    expect(index.apply({ sequence: 7, added: ['a'], removed: [] })).toBe(false);
    index.apply({ sequence: 8, all: ['a'] });
    expect(index.apply({ sequence: 9, added: ['b'], removed: ['a'] })).toBe(true);
    expect(index.cachedTokens(['a', 'b'])).toBe(0);
  });
});

describe('checkAdmission', () => {
  const input = {
    timeRemainingMs: 1000,
    promptTokens: 1000,
    outputTokens: 10,
    queuedTokens: 0,
    minWorkAheadMs: 0,
    laneTokensPerMs: 100,
    engineTokensPerMs: 10,
    stepMs: 10,
  };

  it('refuses a request that cannot finish, with a retry-after time only if a retry could finish', () => {
    expect(checkAdmission(input)).toBeUndefined();
    const late = checkAdmission({ ...input, queuedTokens: 100_000 });
    expect(late).toMatchObject({ code: 'cannot_finish', retryAfterMs: 200 });
    const never = checkAdmission({ ...input, outputTokens: 200 });
    expect(never?.retryAfterMs).toBeUndefined();
  });
});

describe('shares', () => {
  it('transfers the share of an idle host, and splits fairly between two hosts that need more', () => {
    expect(shareToTransfer({ share: 0.4, demand: 0 }, { share: 0, demand: 1 }, 1)).toBeCloseTo(0.4);
    expect(shareToTransfer({ share: 1, demand: 2 }, { share: 0, demand: 2 }, 1)).toBeCloseTo(0.5);
    expect(shareToTransfer({ share: 0.2, demand: 0.2 }, { share: 0.2, demand: 0.2 }, 1)).toBe(0);
    expect(shareToRequest({ share: 0.1, demand: 0 }, 600, 1000)).toBeCloseTo(0.65);
  });
});
