import {
  countSetting,
  listSetting,
  millisecondsSetting,
  nameSetting,
  numberSetting,
  portSetting,
  urlSetting,
  booleanSetting,
} from '@poppypond/settings';
import { z } from 'zod';

/** The gateway's settings. */
export const gatewayShape = {
  host: nameSetting.describe('name of this host, unique in the fleet'),
  zone: nameSetting.describe('availability zone of this host'),
  listenAddress: z.string().default('127.0.0.1').describe('address to listen on'),
  listenPort: portSetting.default(8080).describe('port for callers; 0 takes a free one'),
  peerPort: portSetting.default(8081).describe('port for peers; 0 takes a free one'),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  peers: listSetting.default([]).describe('peer addresses to start from, ws://ADDRESS:PORT'),
  fanOut: countSetting.default(8).describe('peers that this host connects to by itself'),
  heartbeatMs: millisecondsSetting.default(500).describe('time between heartbeats to peers'),
  suspectAfterMs: millisecondsSetting
    .default(2000)
    .describe('silence after which a peer is suspect'),
  removeAfterMs: millisecondsSetting
    .default(15_000)
    .describe('silence after which a peer is removed'),
  storeTimeoutMs: millisecondsSetting.default(1000).describe('limit of one call to the platform'),
  configPollMs: millisecondsSetting
    .default(1000)
    .describe('time between reads of the newest revision'),
  notReadyAfterMs: millisecondsSetting
    .default(60_000)
    .describe('without table and peers for this long, the host is not ready'),
  drainDelayMs: numberSetting
    .default(3000)
    .describe('on a stop, time for the balancer to send new requests elsewhere'),
  maxBodyBytes: countSetting.default(16_000_000).describe('largest request body'),
  bodyTimeoutMs: millisecondsSetting.default(30_000).describe('limit for a request body to arrive'),
  placement: z
    .enum(['predicted-start', 'round-robin', 'least-requests', 'least-tokens'])
    .default('predicted-start')
    .describe('how engines are chosen; the last three are baselines'),
  useLanes: booleanSetting.default(true).describe('keep some engines free of long work'),
  useLateBinding: booleanSetting.default(true).describe('wait at the host while engines are busy'),
  useAffinity: booleanSetting.default(true).describe('count prefix cache hints'),
  usePriority: booleanSetting.default(true).describe('pass priorities to engines'),
  bindWithinMs: millisecondsSetting
    .default(150)
    .describe('most work ahead on an engine that is given a request'),
  randomChoices: countSetting.default(3).describe('engines at random that are compared'),
  otherZoneMs: numberSetting.default(2).describe('cost of another availability zone'),
  stepMs: numberSetting.default(30).describe('time of an engine step with a full chunk'),
  decodeStepMs: numberSetting.default(20).describe('time between two tokens, for admission'),
  prefillTokensPerMs: numberSetting
    .default(50)
    .describe('prefill rate of an engine before it has been observed'),
  maxEnginesWatched: countSetting.default(64).describe('engines of a pool that this host uses'),
  engineReportPeriodMs: millisecondsSetting
    .default(100)
    .describe('least time between two load reports of one engine'),
  engineReportMaxAgeMs: millisecondsSetting
    .default(3000)
    .describe('an engine whose report is older takes no new work'),
  retryShare: numberSetting.default(0.1).describe('retries for each first attempt'),
  retryReserve: numberSetting.default(20).describe('retries that can be saved up'),
  decisionRing: countSetting.default(10_000).describe('decisions kept in memory'),
  decisionFlushMs: millisecondsSetting.default(1000).describe('time between writes of decisions'),
  tlsCertificateFile: z
    .string()
    .optional()
    .describe('certificate for callers in PEM form; read again when it changes'),
  tlsKeyFile: z.string().optional().describe('key of the certificate'),
  statsdAddress: z.string().optional().describe('StatsD address, HOST:PORT'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('least level logged'),
  seed: countSetting.optional().describe('seed of the random choices; default at random'),
};

/** The gateway's checked settings. */
export type GatewaySettings = z.infer<z.ZodObject<typeof gatewayShape>>;
