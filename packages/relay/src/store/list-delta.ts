import type { BackendServer } from '@poppypond/fleet';
import type { ServerListSnapshot } from './server-list.js';

/** Difference between two server lists. */
export interface ListDelta extends Omit<ServerListSnapshot, 'servers'> {
  /** Digest of the list that the delta applies to. */
  readonly fromDigest: string;
  /** Digest of the resulting list. */
  readonly digest: string;
  /** Servers that are new or have changed. */
  readonly servers: readonly BackendServer[];
  readonly goneIds: readonly string[];
}

/** A server list with its digest. */
export interface DigestedList {
  readonly digest: string;
  readonly servers: readonly BackendServer[];
}

/** Canonical one-line form of a server's entry; any change to the entry changes it. */
export function canonicalLine(server: BackendServer): string {
  const { id, service, address, port, availabilityZone, slots, isDraining, startedAtMs } = server;
  return [id, service, address, port, availabilityZone, slots, isDraining, startedAtMs ?? ''].join(
    ' ',
  );
}

/** Returns the delta from `before` to `after`; `digest` is the digest of `after`. */
export function diffLists(
  before: DigestedList,
  after: ServerListSnapshot,
  digest: string,
): ListDelta {
  const known = new Set(before.servers.map(canonicalLine));
  const listedIds = new Set(after.servers.map(({ id }) => id));
  return {
    fromDigest: before.digest,
    digest,
    version: after.version,
    graceMs: after.graceMs,
    servers: after.servers.filter((server) => !known.has(canonicalLine(server))),
    goneIds: before.servers.map(({ id }) => id).filter((id) => !listedIds.has(id)),
  };
}

/**
 * Returns the resulting list; undefined if the known list is not the one that the delta applies to.
 */
export function applyListDelta(
  known: { readonly listDigest: string },
  listed: ServerListSnapshot,
  { fromDigest, version, graceMs, servers, goneIds }: ListDelta,
): ServerListSnapshot | undefined {
  if (known.listDigest !== fromDigest) return undefined;
  const replacedIds = new Set([...goneIds, ...servers.map(({ id }) => id)]);
  const kept = listed.servers.filter(({ id }) => !replacedIds.has(id));
  return { servers: [...kept, ...servers], version, graceMs };
}
