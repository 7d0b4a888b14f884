import type { ListedServers } from '../store/server-list.js';
import type { WireList } from './peer-messages.js';

/** Some 70 bytes each; a datagram holds 64 KB, and the fewer fragments the better. */
const MOST_SERVERS_TOLD = 300;

/** The list of servers for the wire; null where it is too long. */
export function toWireList({ servers, version, graceMs }: ListedServers): WireList {
  if (servers.length > MOST_SERVERS_TOLD) return null;
  return {
    version,
    graceMs: Math.round(graceMs),
    servers: servers.map((server) => [
      server.id,
      server.service,
      server.address,
      server.port,
      server.availabilityZone,
      server.slots,
      server.isDraining,
    ]),
  };
}

/** The list of servers from the wire. */
export function fromWireList(list: NonNullable<WireList>): ListedServers {
  const servers = list.servers.map(
    ([id, service, address, port, availabilityZone, slots, isDraining]) => ({
      id,
      service,
      address,
      port,
      availabilityZone,
      slots,
      isDraining,
    }),
  );
  return { servers, version: list.version, graceMs: list.graceMs };
}
