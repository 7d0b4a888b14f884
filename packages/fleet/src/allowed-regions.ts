import type { BackendServer } from './backend-server.js';

/** Regions whose servers may take a request; any region if undefined. */
export type AllowedRegions = readonly string[] | undefined;

/** Returns the regions that both allow; empty if they have none in common. */
export function intersectRegions(one: AllowedRegions, other: AllowedRegions): AllowedRegions {
  if (one === undefined) return other;
  return other === undefined ? one : one.filter((region) => other.includes(region));
}

/** The region of each availability zone. */
export class ZoneRegions {
  constructor(readonly regions: ReadonlyMap<string, string> = new Map()) {}

  /** The region of a server; undefined if that of its zone is unknown. */
  regionOf({ availabilityZone }: BackendServer): string | undefined {
    return this.regions.get(availabilityZone);
  }

  /** Whether a server may take a request; not if the region of its zone is unknown. */
  allows(server: BackendServer, allowed: AllowedRegions): boolean {
    if (allowed === undefined) return true;
    const region = this.regionOf(server);
    return region !== undefined && allowed.includes(region);
  }

  /** Returns the servers that may take a request, in the same order. */
  filter(servers: readonly BackendServer[], allowed: AllowedRegions): readonly BackendServer[] {
    if (allowed === undefined) return servers;
    return servers.filter((server) => this.allows(server, allowed));
  }
}
