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
  listenPort: portSetting.default(8092).describe('port for status; 0 takes a free one'),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  gateways: listSetting
    .default([])
    .describe('gateway addresses to ask who uses engine memory, http://ADDRESS:PORT'),
  leaseMs: millisecondsSetting.default(9000).describe('duration of a lease on a pool'),
  planPeriodMs: millisecondsSetting.default(1000).describe('time between looks at a pool'),
  orderMs: millisecondsSetting.default(5000).describe('after this an order is void'),
  shrinkAfterMs: millisecondsSetting
    .default(120_000)
    .describe('demand must be low for this long before a model is unloaded'),
  sweepPeriodMs: millisecondsSetting.default(5000).describe('time between two looks of the sweep'),
  ledgerRetentionMs: millisecondsSetting
    .default(86_400_000)
    .describe('time that outcomes of calls which may not be repeated are kept'),
  decisionRetentionMs: millisecondsSetting
    .default(604_800_000)
    .describe('time that decision records are kept'),
  cleanupPeriodMs: millisecondsSetting.default(30_000).describe('time between clean-ups'),
  storeTimeoutMs: millisecondsSetting.default(1000).describe('limit of one call to the platform'),
  statsdAddress: z.string().optional().describe('StatsD address, HOST:PORT'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('least level logged'),
};

/** The controller's checked settings. */
export type ControllerSettings = z.infer<z.ZodObject<typeof controllerShape>>;
