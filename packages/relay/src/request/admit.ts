import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { intersectRegions } from '@poppypond/fleet';
import type { AllowedRegions } from '@poppypond/fleet';
import { chooseService, requestPriority } from '@poppypond/routing';
import type { EngineFigures, Route, RouteTable, WorkspaceKeys } from '@poppypond/routing';
import { Result } from 'true-myth';
import type { CallerHead } from '../ports.js';
import type { RelayParts } from './relay-parts.js';

/** What the active configuration determines for a request. */
export interface AdmittedRequest {
  readonly route: Route;
  readonly service: string;
  /** Timing and memory figures of the service's engines; undefined for plain services. */
  readonly figures: EngineFigures | undefined;
  /** Undefined on routes that need no key. */
  readonly workspace: string | undefined;
  /** The priority of the workspace if it has one, otherwise of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Order in which requests are planned: by workspace, then by route; 0 is the most urgent. */
  readonly planningPriority: number;
  readonly configurationVersion: number;
  /** Regions whose servers may take the request, by its route and its workspace. */
  readonly allowedRegions: AllowedRegions;
}

/**
 * Retry delay for callers of a host that is catching up with the store. It is spread, as after a
 * start of all hosts the callers of all of them are refused at the same moment.
 */
const MIN_SYNC_RETRY_DELAY_MS = 300;
const MAX_SYNC_RETRY_DELAY_MS = 900;

function syncRetryDelayMs(random: number): Milliseconds {
  return MIN_SYNC_RETRY_DELAY_MS + random * (MAX_SYNC_RETRY_DELAY_MS - MIN_SYNC_RETRY_DELAY_MS);
}

/**
 * Finds the route, checks the key and picks the service; returns a fault if the request is refused.
 */
export function admit(parts: RelayParts, caller: CallerHead): Result<AdmittedRequest, Fault> {
  const { table, isNewestUnreadable } = parts.activeConfiguration;
  const refused = (code: 'not_ready' | 'configuration_unreadable', detail: string) =>
    fault(code, detail, { retryAfterMs: syncRetryDelayMs(parts.random()) });
  // Requests that are `not_ready` may wait for a confirmation, which cannot come in this case.
  const unconfirmed = (detail: string) =>
    isNewestUnreadable
      ? refused('configuration_unreadable', 'the newest configuration cannot be decoded')
      : refused('not_ready', detail);
  if (!table) {
    return Result.err(unconfirmed('no configuration has been loaded yet'));
  }
  if (!parts.servers.evacuatedZones.isKnown) {
    return Result.err(
      refused('not_ready', 'it is not known yet which availability zones are evacuated'),
    );
  }
  const route = table.match(caller.hostName, caller.path);
  if (!route) return Result.err(fault('unknown_route', 'no route matches this host and path'));
  const requiresKey = table.configuration.requiresKeys && !route.isAuthExempt;
  if (requiresKey && parts.keyTrust.verdict() === 'refused') {
    return Result.err(unconfirmed('the configuration may be out of date'));
  }
  const workspace =
    requiresKey && caller.key !== undefined ? table.workspaceOf(caller.key) : undefined;
  if (requiresKey && !workspace)
    return Result.err(fault('unauthenticated', 'the key is not known'));
  return toAdmitted(parts, table, route, workspace);
}

/** Picks the service of an authorized request, and the regions that may serve it. */
function toAdmitted(
  parts: RelayParts,
  table: RouteTable,
  route: Route,
  workspace: WorkspaceKeys | undefined,
): Result<AdmittedRequest, Fault> {
  const service = chooseService(route, parts.random());
  if (service === undefined)
    return Result.err(fault('no_backend', 'the route has no target service'));
  const allowedRegions = intersectRegions(route.allowedRegions, workspace?.allowedRegions);
  if (allowedRegions?.length === 0)
    return Result.err(fault('no_backend', 'no region is allowed by both route and workspace'));
  return Result.ok({
    route,
    allowedRegions,
    service,
    figures: table.service(service)?.engine,
    workspace: workspace?.name,
    priority: workspace?.priority ?? route.priority,
    planningPriority: requestPriority(route, workspace),
    configurationVersion: table.version,
  });
}
