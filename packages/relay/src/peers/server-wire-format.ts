import type { BackendServer } from '@poppypond/fleet';
import { pack } from 'msgpackr';
import { z } from 'zod';
import type { ServerListSnapshot } from '../store/server-list.js';
import { decodeAs, compressBytes, decompressBytes } from './byte-encoding.js';
import { serversSchema } from './peer-messages.js';
import type { WireServer } from './plan-messages.js';

const listSchema = z.object({
  version: z.number(),
  graceMs: z.number(),
  servers: serversSchema,
});

/** Converts a backend server to its wire form. */
export function toWireServer(server: BackendServer): WireServer {
  const { id, service, address, port, availabilityZone, slots, isDraining, startedAtMs } = server;
  return [id, service, address, port, availabilityZone, slots, isDraining, startedAtMs ?? null];
}

/** Converts a backend server from its wire form. */
export function fromWireServer(wire: WireServer): BackendServer {
  const [id, service, address, port, availabilityZone, slots, isDraining, born] = wire;
  const startedAtMs = born ?? undefined;
  return { id, service, address, port, availabilityZone, slots, isDraining, startedAtMs };
}

/** Encodes and compresses the whole server list. */
export function encodeList({ servers, version, graceMs }: ServerListSnapshot): Buffer {
  const wire = { version, graceMs: Math.round(graceMs), servers: servers.map(toWireServer) };
  return compressBytes(pack(wire));
}

/** Decompresses and decodes a server list. Returns undefined if the bytes hold none. */
export function decodeList(packed: Uint8Array): ServerListSnapshot | undefined {
  const bytes = decompressBytes(packed);
  const list = bytes && decodeAs(listSchema, bytes);
  if (!list) return undefined;
  const { servers, version, graceMs } = list;
  return { servers: servers.map(fromWireServer), version, graceMs };
}
