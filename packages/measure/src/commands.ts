import {
  countSetting,
  defineCommand,
  listSetting,
  millisecondsSetting,
  numberSetting,
} from '@poppypond/settings';
import type { ProgramCommand } from '@poppypond/settings';
import { z } from 'zod';
import { measureCapacity } from './capacity.js';
import { measureConfiguration } from './configuration.js';
import { measureDecisionCost } from './decision-cost.js';
import { measureLimits } from './limits.js';
import { measureMixed } from './mixed.js';
import { measureOverload } from './overload.js';
import { measureRelay } from './relay.js';

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
    return done();
  },
});

const relayCommand = defineCommand({
  path: ['relay'],
  description: 'What one gateway adds to the first token, what it carries, and its memory.',
  shape: {
    json,
    seed: countSetting.default(1).describe('seed of the prompts'),
    durationMs: millisecondsSetting.default(60_000).describe('time at full rate'),
    requestsPerSecond: numberSetting.default(500).describe('streamed requests a second'),
  },
  main: async (settings) => {
    await measureRelay({ ...settings, json: settings.json });
    return done();
  },
});

const decisionCommand = defineCommand({
  path: ['decision'],
  description: 'What one placement decision costs, by number of replicas.',
  shape: {},
  main: () => {
    measureDecisionCost();
    return Promise.resolve(0);
  },
});

const overloadCommand = defineCommand({
  path: ['overload'],
  description: 'What is answered in time as load rises to three times what the fleet carries.',
  shape: {
    json,
    seed: countSetting.default(1).describe('seed of the workload'),
    gateways: countSetting.default(3).describe('gateway processes'),
    engines: countSetting.default(6).describe('engine stand-in processes'),
    requestsPerSecond: numberSetting.default(80).describe('rate that counts as load 1'),
    durationMs: millisecondsSetting.default(10_000).describe('time at each load'),
  },
  main: async (settings) => {
    await measureOverload({ ...settings, json: settings.json });
    return done();
  },
});

const limitsCommand = defineCommand({
  path: ['limits'],
  description: 'How much of a limit is usable when one host gets all of the traffic.',
  shape: {
    gateways: countSetting.default(9).describe('gateway processes'),
    durationMs: millisecondsSetting.default(15_000).describe('time of each part'),
  },
  main: async (settings) => {
    await measureLimits(settings);
    return done();
  },
});

const configurationCommand = defineCommand({
  path: ['configuration'],
  description: 'Time until a change is in force on every gateway, with races, kills and outages.',
  shape: {
    gateways: countSetting.default(9).describe('gateway processes'),
    changes: countSetting.default(200).describe('changes in all'),
    seed: countSetting.default(1).describe('seed of the changes'),
  },
  main: async (settings) => {
    await measureConfiguration(settings);
    return done();
  },
});

const capacityCommand = defineCommand({
  path: ['capacity'],
  description: 'Slopes of state, messages, processor time and memory, for docs/CAPACITY.md.',
  shape: { json },
  main: async (settings) => {
    await measureCapacity({ json: settings.json });
    return done();
  },
});

/** Ends the process although connections are kept open for reuse. */
function done(): number {
  setImmediate(() => process.exit(0));
  return 0;
}

/** The measurements. */
export const measureCommands: readonly ProgramCommand[] = [
  mixedCommand,
  relayCommand,
  decisionCommand,
  overloadCommand,
  limitsCommand,
  configurationCommand,
  capacityCommand,
];
