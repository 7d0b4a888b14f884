import type { BackendServer } from '@poppypond/fleet';
import { pack } from 'msgpackr';
import { z } from 'zod';
import type { ServerListSnapshot } from '../store/server-list.js';
import { decodeAs, packBytes, unpackBytes } from './packed-bytes.js';
import { serversSchema } from './peer-messages.js';
import type { WireServer } from './plan-messages.js';

const listSchema = z.object({
  version: z.number(),
  graceMs: z.number(),
  servers: serversSchema,
});

/** A backend server for the wire. */
export function toWireServer(server: BackendServer): WireServer {
  const {
    id,
    service,
    address,
    port,
    availabilityZone,
    slots,
    isDraining,
    startedAtMs: bornMs,
  } = server;
  return [id, service, address, port, availabilityZone, slots, isDraining, bornMs ?? null];
}

/** A backend server from the wire. */
export function fromWireServer(wire: WireServer): BackendServer {
  const [id, service, address, port, availabilityZone, slots, isDraining, born] = wire;
  const bornMs = born ?? undefined;
  return { id, service, address, port, availabilityZone, slots, isDraining, startedAtMs: bornMs };
}

/** The whole list of servers, compressed. */
export function packList({ servers, version, graceMs }: ServerListSnapshot): Buffer {
  const wire = { version, graceMs: Math.round(graceMs), servers: servers.map(toWireServer) };
  return packBytes(pack(wire));
}

/** The list of servers that was compressed; undefined if this is none. */
export function unpackList(packed: Uint8Array): ServerListSnapshot | undefined {
  const bytes = unpackBytes(packed);
  const list = bytes && decodeAs(listSchema, bytes);
  if (!list) return undefined;
  const { servers, version, graceMs } = list;
  return { servers: servers.map(fromWireServer), version, graceMs };
}
