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

/** Settings of the gateway. */
export const gatewayShape = {
  host: nameSetting.describe('name of this host, unique in the fleet'),
  zone: nameSetting.describe('availability zone of this host'),
  listenAddress: z.string().default('127.0.0.1').describe('address to listen on'),
  listenPort: portSetting.default(8080).describe('port for callers; 0 selects a free port'),
  peerPort: portSetting.default(8081).describe('port for peers; 0 selects a free port'),
  platformUrl: urlSetting.describe('the platform: table, object store, host list'),
  peers: listSetting.default([]).describe('addresses of seed peers, ws://ADDRESS:PORT'),
  fanOut: countSetting.default(8).describe('number of peers that this host opens connections to'),
  heartbeatMs: millisecondsSetting.default(500).describe('time between heartbeats to peers'),
  suspectAfterMs: millisecondsSetting
    .default(2000)
    .describe('silence after which a peer is suspect'),
  removeAfterMs: millisecondsSetting
    .default(15_000)
    .describe('silence after which a peer is removed'),
  storeTimeoutMs: millisecondsSetting.default(1000).describe('timeout of one call to the platform'),
  configPollMs: millisecondsSetting
    .default(1000)
    .describe('time between polls of the newest configuration revision'),
  notReadyAfterMs: millisecondsSetting
    .default(60_000)
    .describe('time without table and peers after which the host is not ready'),
  drainDelayMs: numberSetting
    .default(3000)
    .describe('time on a shutdown for the load balancer to route new requests elsewhere'),
  maxBodyBytes: countSetting.default(16_000_000).describe('maximum size of a request body'),
  bodyTimeoutMs: millisecondsSetting
    .default(30_000)
    .describe('timeout for receiving a request body'),
  placement: z
    .enum(['predicted-start', 'round-robin', 'least-requests', 'least-tokens'])
    .default('predicted-start')
    .describe('engine selection policy; the last three are baselines'),
  useLanes: booleanSetting.default(true).describe('keep some engines free of long requests'),
  useLateBinding: booleanSetting
    .default(true)
    .describe('let requests wait at the host while engines are busy'),
  useAffinity: booleanSetting.default(true).describe('use prefix cache hints in placement'),
  usePriority: booleanSetting.default(true).describe('pass priorities to engines'),
  bindWithinMs: millisecondsSetting
    .default(150)
    .describe('maximum queued work of an engine that is selected for a request'),
  randomChoices: countSetting
    .default(3)
    .describe('number of random engines that are compared for a request'),
  otherZoneMs: numberSetting.default(2).describe('cost of an engine in another availability zone'),
  stepMs: numberSetting.default(30).describe('duration of an engine step with a full chunk'),
  decodeStepMs: numberSetting
    .default(20)
    .describe('time between two output tokens, as assumed by admission'),
  prefillTokensPerMs: numberSetting
    .default(50)
    .describe('prefill rate that is assumed until one is observed'),
  maxEnginesWatched: countSetting
    .default(64)
    .describe('maximum number of engines of a pool that this host uses'),
  engineReportPeriodMs: millisecondsSetting
    .default(100)
    .describe('minimum time between two load reports of one engine'),
  engineReportMaxAgeMs: millisecondsSetting
    .default(3000)
    .describe('maximum age of the load report of an engine that takes new requests'),
  retryShare: numberSetting.default(0.1).describe('retries allowed for each first attempt'),
  retryReserve: numberSetting
    .default(20)
    .describe('maximum number of unused retries that are saved up'),
  decisionRing: countSetting.default(10_000).describe('number of decisions kept in memory'),
  decisionFlushMs: millisecondsSetting.default(1000).describe('time between writes of decisions'),
  tlsCertificateFile: z
    .string()
    .optional()
    .describe('TLS certificate for callers in PEM format; reloaded when it changes'),
  tlsKeyFile: z.string().optional().describe('private key of the TLS certificate in PEM format'),
  statsdAddress: z.string().optional().describe('StatsD address, HOST:PORT'),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('minimum level of logged events'),
  seed: countSetting.optional().describe('seed of random choices; random by default'),
};

/** Validated settings of the gateway. */
export type GatewaySettings = z.infer<z.ZodObject<typeof gatewayShape>>;
