import { SystemClock } from '@poppypond/core';
import { defineCommand } from '@poppypond/settings';
import { createLog, enableSuspensionDetection } from '@poppypond/telemetry';
import { startAdmin } from './admin.js';
import { adminShape } from './settings.js';

/** The only command of `poppypond-admin`. */
export const adminCommand = defineCommand({
  description: "Serve the operators' HTTP API: objects, audit trail, status, explanations.",
  shape: adminShape,
  main: async (settings) => {
    const log = createLog({ program: 'admin', host: settings.host }, settings.logLevel);
    void enableSuspensionDetection(log);
    const server = await startAdmin(settings, new SystemClock(), log);
    process.stdout.write(`listening url=${server.url}\n`);
    return new Promise((resolve) => {
      process.once('SIGTERM', () => {
        void server.close().then(() => {
          resolve(0);
          setImmediate(() => process.exit(0));
        });
      });
    });
  },
});
