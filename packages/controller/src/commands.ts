import { SystemClock } from '@poppypond/core';
import { defineCommand } from '@poppypond/settings';
import { createLog, createMetrics, enableSuspensionDetection } from '@poppypond/telemetry';
import { startController } from './controller.js';
import { controllerShape } from './settings.js';

/** The only command of `poppypond-controller`. */
export const controllerCommand = defineCommand({
  description:
    'Load models on engines, set engine roles and release unused engine memory, under leases.',
  shape: controllerShape,
  main: async (settings) => {
    const log = createLog({ program: 'controller', host: settings.host }, settings.logLevel);
    void enableSuspensionDetection(log);
    const metrics = createMetrics(settings.statsdAddress, { host: settings.host });
    const controller = await startController(settings, new SystemClock(), log, metrics);
    process.stdout.write(`listening url=${controller.url}\n`);
    return new Promise((resolve) => {
      process.once('SIGTERM', () => {
        void controller.stop().then(() => {
          resolve(0);
          setImmediate(() => process.exit(0));
        });
      });
    });
  },
});
