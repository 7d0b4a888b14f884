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
  listenPort: portSetting
    .default(8090)
    .describe("port of the operators' API; 0 selects a free port"),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  gateways: listSetting
    .default([])
    .describe('addresses of gateways to query about the hosts of the fleet, http://ADDRESS:PORT'),
  bootstrapKeySha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/)
    .optional()
    .describe('SHA-256 of a key that has the admin role while there is no operator object'),
  tlsCertificateFile: z
    .string()
    .optional()
    .describe('TLS certificate in PEM format; reloaded when it changes'),
  tlsKeyFile: z.string().optional().describe('private key of the certificate'),
  storeTimeoutMs: millisecondsSetting.default(2000).describe('timeout of one call to the platform'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('lowest level that is logged'),
};

/** The admin program's settings after validation. */
export type AdminSettings = z.infer<z.ZodObject<typeof adminShape>>;
