import { describe, expect, it } from 'vitest';
import type { EngineState } from '../engine-load.js';
import type { PlacementJob } from './placement.js';
import { DEFAULT_PREDICTED_START, PredictedStartPlacement } from './predicted-start.js';

const random = { next: () => 0 };

function engine(id: string, more: Partial<EngineState> = {}): EngineState {
  return {
    id,
    zone: 'regina-a',
    kvTokens: 400_000,
    heldTokens: 0,
    running: 0,
    decoding: 0,
    prefillByPriority: [0, 0, 0, 0, 0, 0, 0, 0, 0, 0],
    prefillTokens: 0,
    prefillTokensPerMs: 100,
    role: 'any',
    models: {},
    reportAgeMs: 50,
    ...more,
  };
}

function busy(id: string, tokens: number, priority = 5): EngineState {
  const prefillByPriority = Array.from({ length: 10 }, (_, at) => (at === priority ? tokens : 0));
  return engine(id, { prefillByPriority, prefillTokens: tokens });
}

function job(more: Partial<PlacementJob> = {}): PlacementJob {
  return {
    promptTokens: 1000,
    outputTokens: 100,
    priority: 5,
    lane: 'short',
    zone: 'regina-a',
    cachedTokens: () => 0,
    ...more,
  };
}

const split = { cutOffTokens: 10_000, shortShare: 0.5 };
const placement = new PredictedStartPlacement(
  { ...DEFAULT_PREDICTED_START, randomChoices: 9 },
  split,
);

function chosen(request: PlacementJob, engines: readonly EngineState[]): string {
  const choice = placement.choose(request, engines, random);
  return choice.kind === 'dispatch' ? choice.engine.id : choice.why;
}

describe('PredictedStartPlacement', () => {
  it('keeps long requests out of the short lane, even when the long lane is busy', () => {
    const engines = [engine('s1'), engine('s2'), busy('l1', 90_000), busy('l2', 80_000)];
    expect(chosen(job({ lane: 'long', promptTokens: 50_000 }), engines)).toMatch(/busy/);
    expect(chosen(job({ lane: 'long' }), [...engines.slice(0, 3), engine('l2')])).toBe('l2');
  });

  it('places a short request in the long lane when the short lane is busy, ahead of lower priority there', () => {
    const engines = [
      busy('s1', 90_000, 7),
      busy('s2', 80_000, 7),
      busy('l1', 300_000, 3),
      engine('l2'),
    ];
    expect(chosen(job({ priority: 7 }), engines)).toBe('l2');
    expect(chosen(job({ priority: 7 }), engines.slice(0, 3))).toBe('l1');
  });

  it('keeps a request waiting at the host while every engine has too much work queued ahead', () => {
    const engines = [busy('s1', 90_000), busy('s2', 90_000)];
    const choice = placement.choose(job(), engines, random);
    expect(choice.kind).toBe('wait');
  });

  it('trades off a cached prefix against load', () => {
    const request = job({ promptTokens: 9000, cachedTokens: (id) => (id === 'warm' ? 8192 : 0) });
    const singleLane = new PredictedStartPlacement(placement.settings, {
      cutOffTokens: Infinity,
      shortShare: 1,
    });
    const withShortQueue = singleLane.choose(request, [engine('cold'), busy('warm', 4000)], random);
    expect(withShortQueue.kind === 'dispatch' && withShortQueue.engine.id).toBe('warm');
    const withLongQueue = singleLane.choose(
      request,
      [engine('cold'), busy('warm', 14_000)],
      random,
    );
    expect(withLongQueue.kind === 'dispatch' && withLongQueue.engine.id).toBe('cold');
  });

  it('rejects engines without enough free memory and reports the reason', () => {
    const full = engine('full', { heldTokens: 399_900 });
    const choice = placement.choose(job(), [full, engine('other'), engine('l')], random);
    expect(choice.kind === 'dispatch' && choice.passedOver).toContainEqual({
      candidate: 'full',
      why: expect.stringContaining('memory'),
    });
  });
});
