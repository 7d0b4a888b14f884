import {
  listSetting,
  millisecondsSetting,
  nameSetting,
  portSetting,
  urlSetting,
} from '@poppypond/settings';
import { z } from 'zod';

/** The controller's settings. */
export const controllerShape = {
  host: nameSetting.describe('name of this host'),
  listenAddress: z.string().default('127.0.0.1').describe('address to listen on'),
  listenPort: portSetting.default(8092).describe('port for status requests; 0 selects a free port'),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  gateways: listSetting
    .default([])
    .describe('addresses of gateways to query about the use of engine memory, http://ADDRESS:PORT'),
  leaseMs: millisecondsSetting.default(9000).describe('duration of a lease on a pool'),
  planPeriodMs: millisecondsSetting
    .default(1000)
    .describe('time between two reconciliations of a pool'),
  orderMs: millisecondsSetting
    .default(5000)
    .describe('time after which a command to an engine expires'),
  shrinkAfterMs: millisecondsSetting
    .default(120_000)
    .describe('demand must be low for this long before a model is unloaded'),
  sweepPeriodMs: millisecondsSetting
    .default(5000)
    .describe('time between two passes of the memory sweep'),
  ledgerRetentionMs: millisecondsSetting
    .default(86_400_000)
    .describe('retention of the outcomes of calls that may not be repeated'),
  decisionRetentionMs: millisecondsSetting
    .default(604_800_000)
    .describe('retention of decision records'),
  cleanupPeriodMs: millisecondsSetting.default(30_000).describe('time between two cleanup runs'),
  storeTimeoutMs: millisecondsSetting.default(1000).describe('timeout of one call to the platform'),
  statsdAddress: z.string().optional().describe('StatsD address, HOST:PORT'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('lowest level that is logged'),
};

/** The controller's settings after validation. */
export type ControllerSettings = z.infer<z.ZodObject<typeof controllerShape>>;
