import {
  boundSetting,
  givenNameSetting,
  numberSetting,
  portSetting,
  yesNoSetting,
} from '@poppypond/settings';
import { z } from 'zod';

const addressAndPort = z.string().regex(/^[^:]+:\d+$/, 'use ADDRESS:PORT');

/** The settings of `poppypond-relay`. See docs/OPERATIONS.md. */
export const RELAY_SETTINGS = {
  settings: z.string().optional().describe('JSON file with any of these settings in camel case'),
  host: givenNameSetting.describe('name of this host'),
  availabilityZone: givenNameSetting.describe('availability zone of this host'),
  address: z.string().describe('IP address of this host'),
  listen: addressAndPort.describe('address and port for callers'),
  readinessListen: addressAndPort.describe('address and port for the balancer'),
  coreShare: numberSetting.default(1).describe('share of a core that this host has'),
  coreSpeed: numberSetting.default(1).describe('speed of that core, against the usual'),
  peerPort: portSetting.describe('UDP port for other relays'),
  metricsPort: portSetting.default(9464).describe('port of /metrics on the address of this host'),
  store: addressAndPort.describe('address and port of the platform store'),
  keysTrustedMs: boundSetting
    .default(5000)
    .describe('the configuration counts as proved newest for this long'),
  keysNeedProof: yesNoSetting
    .default(true)
    .describe('refuse keys without that proof; else serve by the last known configuration'),
  configurationWithinMs: boundSetting
    .default(2000)
    .describe('a new configuration is in force on every host this long after it was taken'),
  leavingWithinMs: boundSetting
    .default(2000)
    .describe('servers get no new work this long after it was taken that they leave'),
  retryRatio: numberSetting.default(0.2).describe('retries for each request of all hosts'),
  retryWindowSeconds: numberSetting.default(10).describe('window in which retries are counted'),
  retrySlack: numberSetting
    .default(100)
    .describe('retries of all hosts in a window beyond the ratio'),
  isFirstStart: yesNoSetting
    .default(false)
    .describe('the whole fleet starts for the first time, so no host is listed yet'),
  stopGraceSeconds: numberSetting.default(8).describe('time from SIGTERM to SIGKILL'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('least level of lines'),
} as const;

/** Checked settings. */
export type RelaySettings = z.infer<z.ZodObject<typeof RELAY_SETTINGS>>;

/** Splits the text of an `ADDRESS:PORT` setting. */
export function splitAddress(text: string): { readonly address: string; readonly port: number } {
  const [address = '', port = '0'] = text.split(':');
  return { address, port: Number(port) };
}
