import { seededRandom } from '@poppypond/load';
import { countSetting, defineCommand, booleanSetting } from '@poppypond/settings';
import { z } from 'zod';
import {
  generateScenario,
  generateAlternatingScenario,
  generateDeployment,
  generateFaults,
  generateNotices,
  generateSlowPeriods,
} from './generate-scenario.js';
import type { ScenarioResult } from './outcome.js';
import { summarizeOutcomes } from './outcome.js';
import { Simulation } from './simulation.js';
import { generateSwings, swingingDeployment } from './swing-load.js';

/** Formats the result of one simulation as a line of JSON. */
function formatResult(
  seed: number,
  { earnedValue, maxValue, worstSeconds, byKind }: ScenarioResult,
): string {
  const kinds = Object.fromEntries(
    [...byKind].map(([kind, counts]) => [kind, Object.fromEntries(counts)]),
  );
  return JSON.stringify({ seed, share: earnedValue / maxValue, worstSeconds, kinds });
}

/** Simulates one generated scenario per seed, with the planner of the relay. */
export const simulateCommand = defineCommand({
  description:
    'Simulate generated scenarios of emulated engines with the planner; prints one JSON line each.',
  shape: {
    seed: countSetting.default(1).describe('seed of the first scenario'),
    days: countSetting.default(20).describe('number of scenarios, each with the next seed'),
    large: booleanSetting.default(false).describe('60 engines instead of 18'),
    turns: booleanSetting
      .default(false)
      .describe('phases of mostly short and mostly long prompts alternate'),
    words: booleanSetting
      .default(false)
      .describe('some engines ask for backoff, some announce that they leave'),
    slow: booleanSetting.default(false).describe('some engines are slow for a while'),
    speeds: booleanSetting.default(false).describe('hosts observe the speed of engines'),
    faults: z
      .enum(['rejects', 'fails', 'flaps'])
      .optional()
      .describe('engines reject requests, fail them, or stop and start again'),
    observes: booleanSetting
      .default(false)
      .describe('keep a long history of failures, and let engines return by probation'),
    judges: booleanSetting.default(false).describe('avoid engines with a high failure rate too'),
    swings: booleanSetting
      .default(false)
      .describe(
        '45 engines with alternating phases of mostly short and mostly long prompts, no kill',
      ),
    calm: booleanSetting.default(false).describe('scenarios without bursts and kills'),
  },
  main: (options) => {
    const { seed, days, large, turns, words, slow, faults: kind, swings, calm } = options;
    const { speeds: observesSpeeds, observes: observesFailures, judges } = options;
    for (let next = seed; next < seed + days; next += 1) {
      const random = seededRandom(next);
      const deployment = swings
        ? swingingDeployment()
        : generateDeployment(`drawn-${String(next)}`, large, random);
      const generate = swings ? generateSwings : generateAlternatingScenario;
      const generated = swings || turns ? generate(random) : generateScenario(deployment, random);
      const engineNotices = words ? generateNotices(deployment, random) : [];
      const slowPeriods = slow ? generateSlowPeriods(deployment, random) : [];
      const usual = calm ? { bursts: [], restartsAtMs: [] } : {};
      const faults = kind ? generateFaults(deployment, kind, random) : [];
      const deviations = { notices: engineNotices, slowPeriods, faults };
      const policy = { observesSpeeds, observesFailures, judgesFailureRates: judges };
      const scenario = { ...generated, ...usual, ...deviations, ...policy };
      const outcomes = new Simulation(deployment, scenario, next).run();
      process.stdout.write(`${formatResult(next, summarizeOutcomes(outcomes))}\n`);
    }
    return Promise.resolve(0);
  },
});
