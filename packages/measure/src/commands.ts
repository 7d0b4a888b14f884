import {
  countSetting,
  defineCommand,
  listSetting,
  millisecondsSetting,
  numberSetting,
} from '@poppypond/settings';
import type { ProgramCommand } from '@poppypond/settings';
import { z } from 'zod';
import { measureMixed } from './mixed.js';

const json = z.string().optional().describe('file for the figures as JSON');

const mixedCommand = defineCommand({
  path: ['mixed'],
  description: 'Short and long prompts on one fleet: baselines, poppypond, each mechanism off.',
  shape: {
    json,
    seeds: listSetting.default(['1', '2', '3']).describe('seeds, comma separated'),
    gateways: countSetting.default(3).describe('gateway processes'),
    engines: countSetting.default(12).describe('engine stand-in processes'),
    requestsPerSecond: numberSetting.default(70).describe('mean rate of arrivals'),
    durationMs: millisecondsSetting.default(15_000).describe('time over which requests arrive'),
    variants: listSetting.default([]).describe('only these; default all'),
  },
  main: async (settings) => {
    await measureMixed({ ...settings, seeds: settings.seeds.map(Number), json: settings.json });
    setImmediate(() => process.exit(0));
    return 0;
  },
});

/** The measurements. */
export const measureCommands: readonly ProgramCommand[] = [mixedCommand];
