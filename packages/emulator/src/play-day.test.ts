import {
  FleetView,
  StartLatePrompts,
  LatePromptsWhenIdle,
  ServerBackoffs,
  ServerLimits,
} from '@poppypond/fleet';
import type { LatePromptPolicy } from '@poppypond/fleet';
import { seededRandom } from '@poppypond/load';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { engineIdOf } from './deployment.js';
import { drawDay, drawDayOfTurns, drawDeployment, drawWords } from './draw-deployment.js';
import { LIMIT_PER_SECOND } from './engine-words.js';
import { summarizeDay } from './outcome.js';
import { PlayedDay } from './play-day.js';

function play(seed: number) {
  const draw = seededRandom(seed);
  const deployment = drawDeployment('drawn', false, draw);
  const day = { ...drawDay(deployment, draw), lengthMs: 15_000, restartsAtMs: [8000] };
  return new PlayedDay(deployment, day, seed).run();
}

function shareOf(seeds: readonly number[]): number {
  const results = seeds.map((seed) => summarizeDay(play(seed)));
  const earned = results.reduce((sum, result) => sum + result.earned, 0);
  return earned / results.reduce((sum, result) => sum + result.owed, 0);
}

/** Days of turns on which 1.6 times as much comes as the deployment was drawn for. */
function shareOfOverload(seeds: readonly number[], lateRule: LatePromptPolicy): number {
  const results = seeds.map((seed) => {
    const draw = seededRandom(seed);
    const drawn = drawDeployment('drawn', false, draw);
    const kinds = drawn.kinds.map((kind) => {
      return { ...kind, requestsPerSecond: kind.requestsPerSecond * 1.6 };
    });
    const day = { ...drawDayOfTurns(draw), restartsAtMs: [] };
    return summarizeDay(new PlayedDay({ ...drawn, kinds }, day, seed, lateRule).run());
  });
  const earned = results.reduce((sum, result) => sum + result.earned, 0);
  return earned / results.reduce((sum, result) => sum + result.owed, 0);
}

/** Calm days on which a quarter of the engines want rest and some leave; share of the requests that are refused. */
function refusedShareWithWords(seeds: readonly number[]): number {
  const outcomes = seeds.flatMap((seed) => {
    const draw = seededRandom(seed);
    const deployment = drawDeployment('drawn', false, draw);
    const words = drawWords(deployment, draw);
    const day = { ...drawDay(deployment, draw), bursts: [], restartsAtMs: [], words };
    return new PlayedDay(deployment, day, seed).run();
  });
  return outcomes.filter(({ kind }) => kind === 'refused').length / outcomes.length;
}

const WINDOW_MS = 4000;
const NAMED_FROM_MS = 5000;
const KEPT_AFTER_MS = 3000;

/** Calm days on which the first quarter of the engines name a limit: the most that one got in 4 s, and refusals. */
function playLimits(seeds: readonly number[]) {
  const days = seeds.map((seed) => {
    const draw = seededRandom(seed);
    const deployment = drawDeployment('drawn', false, draw);
    const count = Math.ceil(deployment.engines / 4);
    const words = Array.from({ length: count }, (_unused, index) => {
      const always = { fromMs: NAMED_FROM_MS, toMs: Number.POSITIVE_INFINITY };
      return { engineId: engineIdOf(index), ...always, says: 'limits' as const };
    });
    const played = new PlayedDay(
      deployment,
      { ...drawDay(deployment, draw), bursts: [], restartsAtMs: [], words },
      seed,
    );
    return { outcomes: played.run(), arrivals: played.words.limitedArrivals };
  });
  const counts = days.flatMap(({ arrivals }) => {
    const kept = arrivals.filter(({ atMs }) => atMs > NAMED_FROM_MS + KEPT_AFTER_MS);
    return kept.map(({ id, atMs }) => {
      const inWindow = kept.filter((one) => one.atMs >= atMs && one.atMs < atMs + WINDOW_MS);
      return inWindow.filter((one) => one.id === id).length;
    });
  });
  const outcomes = days.flatMap((day) => day.outcomes);
  const refused = outcomes.filter(({ kind }) => kind === 'refused').length / outcomes.length;
  return { most: Math.max(...counts), refused };
}

afterEach(() => {
  vi.restoreAllMocks();
});

describe('PlayedDay', () => {
  it('ends every request once, and plays the same for the same seed', () => {
    const first = play(3);
    expect(JSON.stringify(play(3))).toBe(JSON.stringify(first));
    expect(JSON.stringify(play(4))).not.toBe(JSON.stringify(first));
    const ids = first.map(({ arrival }) => arrival.requestId);
    expect(new Set(ids).size).toBe(ids.length);
    expect(first.filter(({ kind }) => kind === 'open')).toEqual([]);
  });

  it('finds a planted bad policy worse: a planner that forgets what it has placed', () => {
    const seeds = [5, 6, 7];
    const sound = shareOf(seeds);
    vi.spyOn(FleetView.prototype, 'begin').mockImplementation(() => undefined);
    expect(shareOf(seeds)).toBeLessThan(sound - 0.05);
  });

  it('finds a planted bad policy worse: a host that does not keep to the rest that engines ask for', () => {
    const seeds = [21, 22, 23, 24];
    const kept = refusedShareWithWords(seeds);
    vi.spyOn(ServerBackoffs.prototype, 'begin').mockImplementation(() => {
      return { untilMs: 0, isNew: false };
    });
    expect(kept).toBeLessThan(0.01);
    expect(kept).toBeLessThan(refusedShareWithWords(seeds) / 3);
  });

  it('finds a planted bad policy worse: a planner that does not keep to the limits that engines name', () => {
    const seeds = [31, 32, 33];
    const aimedAt = (LIMIT_PER_SECOND * WINDOW_MS) / 1000 + 2;
    const kept = playLimits(seeds);
    expect(kept.most).toBeLessThanOrEqual(aimedAt);
    expect(kept.refused).toBeLessThan(0.01);
    vi.spyOn(ServerLimits.prototype, 'rateOf').mockReturnValue(undefined);
    expect(playLimits(seeds).most).toBeGreaterThan(2 * aimedAt);
  });

  it('earns more on overloaded days where late giant prompts leave engines to timely ones', () => {
    const seeds = [11, 12, 13, 14];
    const all = shareOfOverload(seeds, new StartLatePrompts());
    const idle = shareOfOverload(seeds, new LatePromptsWhenIdle());
    expect(idle).toBeGreaterThan(all + 0.05);
  });
});
