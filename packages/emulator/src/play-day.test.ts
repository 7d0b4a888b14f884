import { FleetView } from '@poppypond/fleet';
import { seededRandom } from '@poppypond/load';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { drawDay, drawDeployment } from './draw-deployment.js';
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
});
