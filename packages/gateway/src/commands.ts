import { SystemClock } from '@poppypond/core';
import { defineCommand } from '@poppypond/settings';
import { createLog, createMetrics, enableSuspensionDetection } from '@poppypond/telemetry';
import { startGateway } from './gateway.js';
import { gatewayShape } from './settings.js';

/** The only command of `poppypond-gateway`. */
export const gatewayCommand = defineCommand({
  description: "Accept callers' requests, place them on engines and stream the responses.",
  shape: gatewayShape,
  main: async (settings) => {
    const { host, zone } = settings;
    const log = createLog({ program: 'gateway', host }, settings.logLevel);
    void enableSuspensionDetection(log);
    const metrics = createMetrics(settings.statsdAddress, { host, zone });
    const gateway = await startGateway(settings, new SystemClock(), log, metrics);
    process.stdout.write(`listening url=${gateway.url} peers=${gateway.peerUrl}\n`);
    return new Promise((resolve) => {
      const onSignal = () => {
        void gateway.stop().then(() => {
          resolve(0);
          setImmediate(() => process.exit(0));
        });
      };
      process.once('SIGTERM', onSignal);
      process.once('SIGINT', onSignal);
    });
  },
});
