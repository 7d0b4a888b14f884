import { SystemClock } from '@poppypond/core';
import { defineCommand, portSetting, booleanSetting } from '@poppypond/settings';
import { checkDemo } from './check.js';
import { startDemo } from './demo.js';
import { printUsageAndStatus } from './print-status.js';

/** Runs the whole system in one process on loopback. */
export const demoCommand = defineCommand({
  description: 'Run gateway, controller, admin and fake servers in one process on loopback.',
  shape: {
    port: portSetting.default(8080).describe('port for callers; 0 selects a free port'),
    adminPort: portSetting.default(8090).describe('port for operators; 0 selects a free port'),
    check: booleanSetting
      .default(false)
      .describe('send one short and one long prompt, verify both answers and exit'),
  },
  main: async ({ port, adminPort, check }) => {
    const clock = new SystemClock();
    const demo = await startDemo(clock, check ? 0 : port, check ? 0 : adminPort);
    if (check) {
      const isCorrect = await checkDemo(demo);
      await demo.stop();
      process.stdout.write(isCorrect ? 'demo check passed\n' : 'demo check failed\n');
      setImmediate(() => process.exit(isCorrect ? 0 : 1));
      return isCorrect ? 0 : 1;
    }
    printUsageAndStatus(demo, clock);
    return new Promise((resolve) => {
      process.once('SIGINT', () => {
        void demo.stop().then(() => {
          resolve(0);
          setImmediate(() => process.exit(0));
        });
      });
    });
  },
});
