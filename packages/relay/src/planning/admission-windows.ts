import type { Milliseconds } from '@poppypond/core';
import { WHOLE_OVERLAP } from '@poppypond/fleet';
import type {
  AdmissionControl,
  BackendServer,
  RegionOverlap,
  RegionShares,
} from '@poppypond/fleet';
import type { PlanRequest } from './plan-request.js';

/** State that admission is decided by at one moment. */
export interface AdmissionMoment {
  readonly nowMs: Milliseconds;
  /** Engines that may be sent the request. */
  readonly available: readonly BackendServer[];
  /** Number of usable engines; a rate-limited one counts as a part. */
  readonly engines: number;
  /** Requests that wait for the service. */
  readonly waiting: readonly PlanRequest[];
  /** Regions of the service's engines; undefined while no request is limited to regions. */
  readonly regions?: CountedRegions | undefined;
}

/** Where the engines of a service are. */
export interface EngineRegions {
  readonly shares: RegionShares;
  readonly regionOf: (server: BackendServer) => string | undefined;
}

/** Regions of engines, and how engines of one region are counted. */
export interface CountedRegions extends EngineRegions {
  /** Number of usable engines; a rate-limited one counts as a part. */
  readonly countEngines: (servers: readonly BackendServer[]) => number;
}

/** Engines that a request may use. */
export interface AdmittedEngines {
  /** Those that less urgent requests leave alone; undefined if there is room for all. */
  readonly preferred?: readonly BackendServer[];
  readonly all: readonly BackendServer[];
}

/** The overlap of the engines that a request may use with those of others. */
export function overlapOf(
  { allowedRegions }: PlanRequest,
  { regions }: Pick<AdmissionMoment, 'regions'>,
): RegionOverlap {
  return regions?.shares.overlapWith(allowedRegions) ?? WHOLE_OVERLAP;
}

/**
 * The engines of a priority's window, of `servers`; all of them while requests don't compete for
 * them. `engines`: number of those that are usable; a rate-limited one counts as a part.
 */
function windowIn(
  control: AdmissionControl,
  priority: number,
  servers: readonly BackendServer[],
  {
    engines,
    nowMs,
    overlap,
  }: {
    readonly engines: number;
    readonly nowMs: Milliseconds;
    readonly overlap?: RegionOverlap;
  },
): AdmittedEngines {
  if (!control.isScarce(engines, nowMs, overlap)) return { all: servers };
  const { from, to, preferredTo } = control.windowOf(priority, servers.length, nowMs, overlap);
  return { preferred: servers.slice(from, preferredTo), all: servers.slice(from, to) };
}

/** The engines of one region that a request may use. */
interface RegionEngines {
  readonly servers: readonly BackendServer[];
  /** Number of usable ones; a rate-limited one counts as a part. */
  readonly engines: number;
  readonly overlap: RegionOverlap;
}

function byRegion(
  available: readonly BackendServer[],
  { countEngines, regionOf, shares }: CountedRegions,
): readonly RegionEngines[] {
  return [...new Set(available.map(regionOf))].map((region) => {
    const servers = available.filter((server) => regionOf(server) === region);
    return { servers, engines: countEngines(servers), overlap: shares.overlapWithin(region) };
  });
}

/**
 * Whether requests don't compete for the engines of one of the available regions, whatever is asked
 * for in others.
 */
export function hasFreeRegion(
  control: AdmissionControl,
  { available, nowMs, regions }: AdmissionMoment,
): boolean {
  if (!regions) return false;
  return byRegion(available, regions).some(({ engines, overlap }) => {
    return !control.isScarce(engines, nowMs, overlap);
  });
}

/**
 * Returns the engines that requests of a priority may use, of the available ones. Where requests are
 * limited to regions, each region has windows of its own, by the demand that falls on it.
 */
export function admittedEngines(
  control: AdmissionControl,
  priority: number,
  { available, engines, nowMs, regions }: AdmissionMoment,
): AdmittedEngines {
  if (!regions) return windowIn(control, priority, available, { engines, nowMs });
  const windows = byRegion(available, regions).map(({ servers, engines, overlap }) => {
    return windowIn(control, priority, servers, { engines, nowMs, overlap });
  });
  if (windows.every(({ preferred }) => preferred === undefined)) return { all: available };
  const all = new Set(windows.flatMap((window) => window.all));
  const preferred = new Set(windows.flatMap((window) => window.preferred ?? window.all));
  return {
    preferred: available.filter((server) => preferred.has(server)),
    all: available.filter((server) => all.has(server)),
  };
}
