import type { BackendServer } from '@poppypond/fleet';
import type { ServerListSnapshot } from './server-list.js';

/** What has changed from one list of servers to the next. */
export interface ListDelta extends Omit<ServerListSnapshot, 'servers'> {
  /** Stands for the list that is changed. */
  readonly fromDigest: string;
  /** Stands for the changed list. */
  readonly digest: string;
  /** Servers that came, or of which anything changed. */
  readonly servers: readonly BackendServer[];
  readonly goneIds: readonly string[];
}

/** A list, and what stands for it. */
export interface DigestedList {
  readonly digest: string;
  readonly servers: readonly BackendServer[];
}

/** All that is listed of a server in one line, which differs as soon as any of it does. */
export function canonicalLine(server: BackendServer): string {
  const { id, service, address, port, availabilityZone, slots, isDraining, startedAtMs } = server;
  return [id, service, address, port, availabilityZone, slots, isDraining, startedAtMs ?? ''].join(
    ' ',
  );
}

/** The change from `before` to `after`, which `digest` stands for. */
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

/** The changed list; undefined where the known list is not the one that the change begins with. */
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
