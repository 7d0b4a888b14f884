import { seededRandom } from '@poppypond/load';
import { countSetting, defineCommand, booleanSetting } from '@poppypond/settings';
import {
  generateScenario,
  generateAlternatingScenario,
  generateDeployment,
  generateNotices,
} from './draw-deployment.js';
import type { ScenarioResult } from './outcome.js';
import { summarizeOutcomes } from './outcome.js';
import { Simulation } from './play-day.js';

/** One day's figures, as a line of JSON. */
function formatResult(
  seed: number,
  { earnedValue, maxValue, worstSeconds, byKind }: ScenarioResult,
): string {
  const kinds = Object.fromEntries(
    [...byKind].map(([kind, counts]) => [kind, Object.fromEntries(counts)]),
  );
  return JSON.stringify({ seed, share: earnedValue / maxValue, worstSeconds, kinds });
}

/** Plays drawn days, one a seed; the planner that decides is the product's own. */
export const simulateCommand = defineCommand({
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
      const random = seededRandom(next);
      const deployment = generateDeployment(`drawn-${String(next)}`, large, random);
      const generated = turns
        ? generateAlternatingScenario(random)
        : generateScenario(deployment, random);
      const engineNotices = words ? generateNotices(deployment, random) : [];
      const usual = calm ? { bursts: [], restartsAtMs: [] } : {};
      const scenario = { ...generated, ...usual, notices: engineNotices };
      const outcomes = new Simulation(deployment, scenario, next).run();
      process.stdout.write(`${formatResult(next, summarizeOutcomes(outcomes))}\n`);
    }
    return Promise.resolve(0);
  },
});
