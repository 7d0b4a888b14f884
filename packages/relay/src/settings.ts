import {
  cappedDurationSetting,
  externalNameSetting,
  numberSetting,
  portSetting,
  booleanSetting,
} from '@poppypond/settings';
import { z } from 'zod';

const addressAndPort = z.string().regex(/^[^:]+:\d+$/, 'use ADDRESS:PORT');

/** Settings of `poppypond-relay`; see docs/OPERATIONS.md. */
export const RELAY_SETTINGS = {
  settings: z.string().optional().describe('JSON file with any of these settings in camel case'),
  host: externalNameSetting.describe('name of this host'),
  availabilityZone: externalNameSetting.describe('availability zone of this host'),
  address: z.string().describe('IP address of this host'),
  listen: addressAndPort.describe('address and port for callers'),
  readinessListen: addressAndPort.describe('address and port for the balancer'),
  coreShare: numberSetting.default(1).describe('share of a core that this host has'),
  coreSpeed: numberSetting.default(1).describe('speed of that core relative to the usual one'),
  peerPort: portSetting.describe('UDP port for other relays'),
  metricsPort: portSetting.default(9464).describe('port of /metrics on the address of this host'),
  store: addressAndPort.describe('address and port of the platform store'),
  keysTrustedMs: cappedDurationSetting
    .default(5000)
    .describe('how long the configuration counts as confirmed to be the newest'),
  keysNeedProof: booleanSetting
    .default(true)
    .describe(
      'refuse keys without that confirmation; otherwise serve by the last known configuration',
    ),
  configurationWithinMs: cappedDurationSetting
    .default(2000)
    .describe(
      'time within which a new configuration is active on every host after the store accepted it',
    ),
  leavingWithinMs: cappedDurationSetting
    .default(2000)
    .describe(
      'time within which a leaving server gets no new work after the store accepted its entry',
    ),
  retryRatio: numberSetting.default(0.2).describe('retries per request, over all hosts'),
  retryWindowSeconds: numberSetting.default(10).describe('window in which retries are counted'),
  retrySlack: numberSetting
    .default(100)
    .describe('retries of all hosts per window in addition to the ratio'),
  isFirstStart: booleanSetting
    .default(false)
    .describe('the whole fleet starts for the first time, so that no host is listed yet'),
  stopGraceSeconds: numberSetting.default(8).describe('time from SIGTERM to SIGKILL'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('minimum level that is logged'),
} as const;

/** Validated settings. */
export type RelaySettings = z.infer<z.ZodObject<typeof RELAY_SETTINGS>>;

/** Splits an `ADDRESS:PORT` setting. */
export function splitAddress(text: string): { readonly address: string; readonly port: number } {
  const [address = '', port = '0'] = text.split(':');
  return { address, port: Number(port) };
}
