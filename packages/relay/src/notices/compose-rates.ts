import {
  ColdServers,
  CombinedRateLimits,
  RequestBounds,
  requestBoundOf,
  ServerLimits,
} from '@poppypond/fleet';
import type { ColdAllowance, RateLimits, RequestBound } from '@poppypond/fleet';
import type { ColdStart } from '@poppypond/routing';
import { ColdNotices } from './cold-notices.js';
import type { ColdNoticesParts } from './cold-notices.js';

/** What this host knows about how much may be sent to each server. */
export interface ServerRates {
  /** Rate limits that servers report. */
  readonly limits: ServerLimits;
  /** The one view of what may be sent: the reported limits, and the rates of cold servers. */
  readonly rates: RateLimits;
  /** What servers that may turn cold get at all times. */
  readonly bounds: RequestBounds;
  readonly coldNotices: ColdNotices;
}

/** Divides the bound of each service once per configuration, as it is needed for each server. */
function cachedBounds(
  coldStartOf: (service: string) => ColdStart | undefined,
  isPlain: (service: string) => boolean,
  allowance: ColdAllowance | undefined,
): (service: string) => RequestBound | undefined {
  const cache = new Map<string, { readonly coldStart: ColdStart; readonly bound: RequestBound }>();
  return (service) => {
    const coldStart = coldStartOf(service);
    if (!coldStart) return undefined;
    const known = cache.get(service);
    if (known?.coldStart === coldStart) return known.bound;
    const bound = requestBoundOf(coldStart, isPlain(service), allowance);
    cache.set(service, { coldStart, bound });
    return bound;
  };
}

/** Dependencies of the view of rates. */
export interface RatesParts extends Omit<ColdNoticesParts, 'cold'> {
  /** What cold servers may get; the default allowance if undefined. */
  readonly coldAllowance?: ColdAllowance;
}

/**
 * Creates the view of rates. `coldStartOf`: the cold start of a service; undefined if its cold
 * servers are not limited. `isPlain`: whether a service has no planned engines.
 */
export function composeRates(
  parts: RatesParts,
  coldStartOf: (service: string) => ColdStart | undefined,
  isPlain: (service: string) => boolean = () => false,
): ServerRates {
  const limits = new ServerLimits();
  const cold = new ColdServers(coldStartOf);
  const bounds = new RequestBounds({
    host: parts.host,
    boundOf: cachedBounds(coldStartOf, isPlain, parts.coldAllowance),
    isSettled: (server, nowMs) => cold.isSettled(server, nowMs),
  });
  const coldNotices = new ColdNotices({ ...parts, cold });
  parts.servers.onAppeared((server, isOwnReport) => {
    coldNotices.recordListed(server, isOwnReport);
  });
  return { limits, rates: new CombinedRateLimits(limits, cold), bounds, coldNotices };
}
