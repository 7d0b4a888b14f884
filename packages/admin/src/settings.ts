import {
  listSetting,
  millisecondsSetting,
  nameSetting,
  portSetting,
  urlSetting,
} from '@poppypond/settings';
import { z } from 'zod';

/** The admin program's settings. */
export const adminShape = {
  host: nameSetting.describe('name of this host'),
  listenAddress: z.string().default('127.0.0.1').describe('address to listen on'),
  listenPort: portSetting.default(8090).describe('port for operators; 0 takes a free one'),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  gateways: listSetting
    .default([])
    .describe('gateway addresses to ask for the fleet, http://ADDRESS:PORT'),
  bootstrapKeySha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/)
    .optional()
    .describe('SHA-256 of a key that is an admin while there is no operator object'),
  tlsCertificateFile: z
    .string()
    .optional()
    .describe('certificate for operators in PEM form; read again when it changes'),
  tlsKeyFile: z.string().optional().describe('key of the certificate'),
  storeTimeoutMs: millisecondsSetting.default(2000).describe('limit of one call to the platform'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('least level logged'),
};

/** The admin program's checked settings. */
export type AdminSettings = z.infer<z.ZodObject<typeof adminShape>>;
