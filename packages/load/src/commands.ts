import { writeFileSync } from 'node:fs';
import {
  countSetting,
  defineCommand,
  listSetting,
  millisecondsSetting,
  numberSetting,
} from '@poppypond/settings';
import { z } from 'zod';
import { runLoad } from './run-load.js';
import { summarize } from './summarize.js';
import { makeWorkload } from './workload.js';

/** The only command of `poppypond-load`. */
export const loadCommand = defineCommand({
  description: 'Send a seeded workload to gateways on loopback and print a summary as JSON.',
  shape: {
    urls: listSetting.describe('gateway addresses, comma separated'),
    seed: countSetting.default(1).describe('seed of the workload'),
    requestsPerSecond: numberSetting
      .default(20)
      .describe('mean arrival rate in requests per second outside a burst'),
    durationMs: millisecondsSetting
      .default(10_000)
      .describe('time in milliseconds during which requests arrive'),
    burstFactor: numberSetting
      .default(2)
      .describe('factor by which the arrival rate increases in a burst'),
    hugeShare: numberSetting.default(0.02).describe('share of prompts over 100,000 tokens'),
    timeLimitMs: millisecondsSetting
      .default(60_000)
      .describe('time limit of each request in milliseconds'),
    samples: z.string().optional().describe('file to write with one JSON line per request'),
  },
  main: async (settings) => {
    const samples = await runLoad(makeWorkload(settings), settings);
    if (settings.samples !== undefined) {
      const lines = samples.map((sample) => JSON.stringify(sample));
      writeFileSync(settings.samples, `${lines.join('\n')}\n`);
    }
    const summary = summarize(samples, settings.timeLimitMs);
    process.stdout.write(`${JSON.stringify({ seed: settings.seed, ...summary }, undefined, 2)}\n`);
    setImmediate(() => process.exit(0));
    return 0;
  },
});
