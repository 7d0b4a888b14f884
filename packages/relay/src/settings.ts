import { DEFAULT_COLD_ALLOWANCE } from '@poppypond/fleet';
import {
  cappedDurationSetting,
  countSetting,
  externalNameSetting,
  numberSetting,
  portSetting,
  booleanSetting,
} from '@poppypond/settings';
import { z } from 'zod';

/** `ZONE=REGION,...` as a map from availability zones to regions. */
const zoneRegionsSetting = z.string().transform((text, context): ReadonlyMap<string, string> => {
  const pairs = text.split(',').filter((pair) => pair.length > 0);
  const regions = new Map<string, string>();
  for (const pair of pairs) {
    const [zone = '', region = '', ...rest] = pair.split('=');
    if (zone === '' || region === '' || rest.length > 0) {
      context.addIssue('use ZONE=REGION,...');
      return z.NEVER;
    }
    regions.set(zone, region);
  }
  return regions;
});

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
  evacuateWithinMs: cappedDurationSetting
    .optional()
    .describe(
      'time within which an evacuated availability zone gets no new work; evacuations are ignored if not set',
    ),
  limitsColdServers: booleanSetting
    .default(false)
    .describe(
      'keep what all hosts send to servers that have just started to the rate that their service allows',
    ),
  coldRateFactor: numberSetting
    .default(DEFAULT_COLD_ALLOWANCE.rateFactor)
    .describe('multiple of its rate that a cold server may get from all hosts in any second'),
  coldExtraRequests: numberSetting
    .default(DEFAULT_COLD_ALLOWANCE.extraRequests)
    .describe('requests that a cold server may get in any second beyond that multiple'),
  observesServerSpeeds: booleanSetting
    .default(false)
    .describe(
      'observe the speeds and failure rates of servers, and prefer others to slow, failing and returning ones',
    ),
  zoneRegions: zoneRegionsSetting
    .default(new Map())
    .describe('region of each availability zone, ZONE=REGION,...'),
  memoryMegabytes: numberSetting
    .default(0)
    .describe('memory of this host; what it may hold is not bounded if 0'),
  linkMegabitsPerSecond: numberSetting
    .default(0)
    .describe('bandwidth of the link of this host; unknown if 0'),
  maxDescriptors: numberSetting
    .default(0)
    .describe('open descriptors that this process may have; as the system says if 0'),
  maxPipelinedRequests: countSetting
    .default(4)
    .describe('requests of one connection that are served at a time'),
  callerHeapShare: numberSetting
    .default(0.2)
    .describe("share of V8's heap that unfinished heads and requests of callers may take"),
  unreadMemoryShare: numberSetting
    .default(0.2)
    .describe(
      'share of the memory of this host that bytes may take that callers have sent and that are not read',
    ),
  maxParsingRestMs: cappedDurationSetting
    .default(2000)
    .describe(
      'connections of very small chunks rest so that others are served; those that would rest for longer are closed',
    ),
  stalledUnderPressureMs: cappedDurationSetting
    .default(2000)
    .describe(
      'a request body of which nothing arrives for this long is refused while the host is short of memory or stops',
    ),
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
