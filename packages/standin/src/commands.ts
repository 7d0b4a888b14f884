import { SystemClock } from '@poppypond/core';
import {
  countSetting,
  defineCommand,
  millisecondsSetting,
  numberSetting,
  portSetting,
  urlSetting,
} from '@poppypond/settings';
import type { ProgramCommand } from '@poppypond/settings';
import { z } from 'zod';
import { startFakeEngine } from './engine/app.js';
import { engineModelShape } from './engine/model-settings.js';
import { startFakePlatform } from './platform/app.js';
import { startFakeService } from './service/app.js';

const listenShape = {
  listenAddress: z.string().default('127.0.0.1').describe('address to listen on'),
  listenPort: portSetting.default(0).describe('port to listen on; 0 selects a free port'),
};

const MS_PER_SECOND = 1000;

/** Prints the URL for the parent process and serves until SIGTERM. */
function serveUntilStopped(url: string): Promise<number> {
  process.stdout.write(`listening url=${url}\n`);
  return new Promise((resolve) => {
    process.once('SIGTERM', () => {
      resolve(0);
      setImmediate(() => process.exit(0));
    });
  });
}

const engineCommand = defineCommand({
  path: ['engine'],
  description: 'Run a fake model engine.',
  shape: {
    ...listenShape,
    ...engineModelShape,
    platformUrl: urlSetting.optional().describe('URL of the fake platform that holds the weights'),
  },
  main: async (settings) => {
    const { server } = await startFakeEngine(settings, new SystemClock(), {
      address: settings.listenAddress,
      port: settings.listenPort,
      platformUrl: settings.platformUrl,
      onDie: () => process.exit(1),
    });
    return serveUntilStopped(server.url);
  },
});

const serviceCommand = defineCommand({
  path: ['service'],
  description: 'Run a fake service.',
  shape: listenShape,
  main: async (settings) => {
    const clock = new SystemClock();
    const { server } = await startFakeService(clock, settings.listenAddress, settings.listenPort);
    return serveUntilStopped(server.url);
  },
});

const platformCommand = defineCommand({
  path: ['platform'],
  description: 'Run a fake platform: table, object store, host list, weight store.',
  shape: {
    ...listenShape,
    writesPerSecond: countSetting
      .default(300)
      .describe('writes per second of the table and the object store'),
    readsPerSecond: countSetting
      .default(2000)
      .describe('reads per second of the table and the object store'),
    hostListLagMs: numberSetting
      .default(3 * MS_PER_SECOND)
      .describe('lag of the host list in milliseconds'),
    weightMs: millisecondsSetting.default(MS_PER_SECOND).describe('time to load one model'),
  },
  main: async (settings) => {
    const { server } = await startFakePlatform(
      { ...settings, address: settings.listenAddress, port: settings.listenPort },
      new SystemClock(),
    );
    return serveUntilStopped(server.url);
  },
});

/** The commands of `poppypond-standin`. */
export const standinCommands: readonly ProgramCommand[] = [
  engineCommand,
  serviceCommand,
  platformCommand,
];
