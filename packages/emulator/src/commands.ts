import { seededRandom } from '@poppypond/load';
import { countSetting, defineCommand, booleanSetting } from '@poppypond/settings';
import { drawDay, drawDayOfTurns, drawDeployment, drawWords } from './draw-deployment.js';
import type { DayResult } from './outcome.js';
import { summarizeDay } from './outcome.js';
import { PlayedDay } from './play-day.js';

/** One day's figures, as a line of JSON. */
function lineOf(seed: number, { earned, owed, worstSeconds, byKind }: DayResult): string {
  const kinds = Object.fromEntries(
    [...byKind].map(([kind, counts]) => [kind, Object.fromEntries(counts)]),
  );
  return JSON.stringify({ seed, share: earned / owed, worstSeconds, kinds });
}

/** Plays drawn days, one a seed; the planner that decides is the product's own. */
export const playCommand = defineCommand({
  description: 'Play drawn days of emulated engines against the planner; one JSON line a day.',
  shape: {
    seed: countSetting.default(1).describe('seed of the first day'),
    days: countSetting.default(20).describe('days to play, each with the next seed'),
    large: booleanSetting.default(false).describe('60 engines in place of 18'),
    turns: booleanSetting.default(false).describe('short and long prompts come by turns'),
    words: booleanSetting
      .default(false)
      .describe('some engines want rest, some say that they leave'),
    calm: booleanSetting.default(false).describe('days without bursts and kills'),
  },
  main: ({ seed, days, large, turns, words, calm }) => {
    for (let next = seed; next < seed + days; next += 1) {
      const draw = seededRandom(next);
      const deployment = drawDeployment(`drawn-${String(next)}`, large, draw);
      const drawn = turns ? drawDayOfTurns(draw) : drawDay(deployment, draw);
      const said = words ? drawWords(deployment, draw) : [];
      const usual = calm ? { bursts: [], restartsAtMs: [] } : {};
      const day = { ...drawn, ...usual, words: said };
      const outcomes = new PlayedDay(deployment, day, next).run();
      process.stdout.write(`${lineOf(next, summarizeDay(outcomes))}\n`);
    }
    return Promise.resolve(0);
  },
});
