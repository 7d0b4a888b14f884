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

const json = z.string().optional().describe('file to which the results are written as JSON');

const mixedCommand = defineCommand({
  path: ['mixed'],
  description:
    'Latency of short and long prompts on one fleet: baselines, poppypond, each mechanism off.',
  shape: {
    json,
    seeds: listSetting.default(['1', '2', '3']).describe('seeds of the workload, comma separated'),
    gateways: countSetting.default(3).describe('gateway processes'),
    engines: countSetting.default(12).describe('fake engine processes'),
    requestsPerSecond: numberSetting.default(70).describe('mean requests per second'),
    durationMs: millisecondsSetting.default(15_000).describe('period over which requests arrive'),
    variants: listSetting.default([]).describe('variants to run, comma separated; all if empty'),
  },
  main: async (settings) => {
    await measureMixed({ ...settings, seeds: settings.seeds.map(Number), json: settings.json });
    return done();
  },
});

const relayCommand = defineCommand({
  path: ['relay'],
  description: 'Latency that one gateway adds to the first token, and its throughput and memory.',
  shape: {
    json,
    seed: countSetting.default(1).describe('seed of the prompts'),
    durationMs: millisecondsSetting.default(60_000).describe('duration at the full rate'),
    requestsPerSecond: numberSetting.default(500).describe('streamed requests per second'),
  },
  main: async (settings) => {
    await measureRelay({ ...settings, json: settings.json });
    return done();
  },
});

const decisionCommand = defineCommand({
  path: ['decision'],
  description: 'Duration of one placement decision, by number of replicas.',
  shape: {},
  main: () => {
    measureDecisionCost();
    return Promise.resolve(0);
  },
});

const overloadCommand = defineCommand({
  path: ['overload'],
  description:
    'Goodput and late answers as the load rises to three times what the fleet can serve.',
  shape: {
    json,
    seed: countSetting.default(1).describe('seed of the workload'),
    gateways: countSetting.default(3).describe('gateway processes'),
    engines: countSetting.default(6).describe('fake engine processes'),
    requestsPerSecond: numberSetting.default(80).describe('requests per second at load 1'),
    durationMs: millisecondsSetting.default(10_000).describe('duration at each load'),
  },
  main: async (settings) => {
    await measureOverload({ ...settings, json: settings.json });
    return done();
  },
});

const limitsCommand = defineCommand({
  path: ['limits'],
  description: 'Share of a limit that can be used when one host receives all of the traffic.',
  shape: {
    gateways: countSetting.default(9).describe('gateway processes'),
    durationMs: millisecondsSetting.default(15_000).describe('duration of each of the two phases'),
  },
  main: async (settings) => {
    await measureLimits(settings);
    return done();
  },
});

const configurationCommand = defineCommand({
  path: ['configuration'],
  description: 'Time until a change is active on every gateway, with conflicts, kills and outages.',
  shape: {
    gateways: countSetting.default(9).describe('gateway processes'),
    changes: countSetting.default(200).describe('number of changes'),
    seed: countSetting.default(1).describe('seed of the changes'),
  },
  main: async (settings) => {
    await measureConfiguration(settings);
    return done();
  },
});

const capacityCommand = defineCommand({
  path: ['capacity'],
  description: 'Growth of store reads, messages, processor time and memory, for docs/CAPACITY.md.',
  shape: { json },
  main: async (settings) => {
    await measureCapacity({ json: settings.json });
    return done();
  },
});

/** Exits the process although connections are kept open for reuse, and returns the exit code 0. */
function done(): number {
  setImmediate(() => process.exit(0));
  return 0;
}

/** Commands of the program `measure`, one per measurement. */
export const measureCommands: readonly ProgramCommand[] = [
  mixedCommand,
  relayCommand,
  decisionCommand,
  overloadCommand,
  limitsCommand,
  configurationCommand,
  capacityCommand,
];
