import { parseJson } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import { Result } from 'true-myth';
import { z } from 'zod';

const TIMEOUT_MS = 5000;
const OK = 200;
const PATH = '/-/status';
const MS_PER_SECOND = 1000;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Servers of one kind that are named in the text; `--json` shows more. */
const MAX_NAMED = 10;

const ageSchema = z.number().nullable();
const serverSchema = z.object({ id: z.string(), leftMs: ageSchema.optional() });
const serversSchema = z.object({ count: z.number(), first: z.array(serverSchema) });

/** Schema of a relay's status page. Later releases may add fields. */
export const relayStatusReply = z.object({
  host: z.string(),
  zone: z.string(),
  isReady: z.boolean(),
  openRequests: z.number(),
  roles: z.object({
    isStoreReader: z.boolean(),
    planned: z.array(z.object({ service: z.string(), role: z.string() })),
  }),
  peers: z.object({ alive: z.number(), hosts: z.number().nullable() }),
  configuration: z.object({ version: z.number(), ageMs: ageSchema }),
  evacuations: z
    .object({
      version: z.number().nullable(),
      ageMs: ageSchema,
      zones: z.array(z.string()).nullable(),
      withdrawn: z.array(z.object({ zone: z.string(), agoMs: ageSchema })),
    })
    .nullable(),
  servers: z.object({
    listed: z.number(),
    ageMs: ageSchema,
    cold: serversSchema,
    limited: serversSchema,
    slow: serversSchema,
    suspected: serversSchema,
    atBound: z.record(z.string(), z.number()),
  }),
  budget: z
    .object({
      usedBytes: z.number(),
      limitBytes: z.number().nullable(),
      level: z.string(),
      isFull: z.boolean(),
    })
    .nullable(),
  admission: z.array(
    z.object({
      service: z.string(),
      engines: z.number(),
      demands: z.array(z.object({ priority: z.number(), engineMsPerSecond: z.number() })),
    }),
  ),
  waitingRequests: z.number(),
});

type RelayStatus = z.infer<typeof relayStatusReply>;

function formatAge(ageMs: number | null): string {
  return ageMs === null ? 'of unknown age' : `${(ageMs / MS_PER_SECOND).toFixed(1)} s old`;
}

function formatServers({ count, first }: RelayStatus['servers']['cold']): string {
  if (count === 0) return 'none';
  const named = first.slice(0, MAX_NAMED).map(({ id }) => id);
  const more = count > named.length ? ' ...' : '';
  return `${String(count)}: ${named.join(' ')}${more}`;
}

function formatZones(evacuations: RelayStatus['evacuations']): string {
  if (!evacuations) return 'not followed';
  const { zones, version, ageMs } = evacuations;
  if (zones === null) return 'not known yet';
  const names = zones.length === 0 ? 'none' : zones.join(' ');
  return `${names} (version ${String(version)}, ${formatAge(ageMs)})`;
}

function formatWithdrawn(evacuations: RelayStatus['evacuations']): string {
  const zones = evacuations?.withdrawn.map(({ zone, agoMs }) => {
    return agoMs === null ? zone : `${zone} (${(agoMs / MS_PER_SECOND).toFixed(1)} s ago)`;
  });
  return zones?.join(', ') || 'none in the last minute';
}

function formatRoles({ isStoreReader, planned }: RelayStatus['roles']): string {
  const roles = planned.map(({ service, role }) => `${role} of ${service}`);
  const all = isStoreReader ? ['store reader', ...roles] : roles;
  return all.length === 0 ? 'none' : all.join(', ');
}

function formatBudget(budget: RelayStatus['budget']): string {
  if (!budget) return 'not bounded';
  const { usedBytes, limitBytes, level, isFull } = budget;
  const megabytes = (bytes: number) => (bytes / BYTES_PER_MEGABYTE).toFixed(0);
  const limit = limitBytes === null ? '' : ` of ${megabytes(limitBytes)}`;
  return `${megabytes(usedBytes)}${limit} MB, level ${level}${isFull ? ', full' : ''}`;
}

function formatAdmission({ service, engines, demands }: RelayStatus['admission'][number]): string {
  const wanted = demands.map(({ priority, engineMsPerSecond }) => {
    return `priority ${String(priority)} ${(engineMsPerSecond / MS_PER_SECOND).toFixed(1)}`;
  });
  return `${service}: ${engines.toFixed(1)} engines for ${wanted.join(', ') || 'nothing'}`;
}

/** Formats the state of a relay, one property on each line. */
export function formatRelayStatus(status: RelayStatus): string {
  const { admission, configuration, peers, servers } = status;
  const atBound = Object.entries(servers.atBound).map(([service, count]) => {
    return `${String(count)} of ${service}`;
  });
  const rows = [
    ['host', `${status.host} in ${status.zone}, ${status.isReady ? 'ready' : 'not ready'}`],
    [
      'requests',
      `${String(status.openRequests)} open, ${String(status.waitingRequests)} wait here for a plan`,
    ],
    ['roles', formatRoles(status.roles)],
    ['peers', `${String(peers.alive)} alive, ${String(peers.hosts ?? 'unknown')} hosts in all`],
    ['configuration', `${String(configuration.version)}, ${formatAge(configuration.ageMs)}`],
    ['evacuated zones', formatZones(status.evacuations)],
    ['  withdrawn', formatWithdrawn(status.evacuations)],
    ['servers', `${String(servers.listed)} listed, ${formatAge(servers.ageMs)}`],
    ['  cold', formatServers(servers.cold)],
    ['  limited', formatServers(servers.limited)],
    ['  slow', formatServers(servers.slow)],
    ['  suspected', formatServers(servers.suspected)],
    ['  at their bound', atBound.length === 0 ? 'none' : atBound.join(', ')],
    ['memory', formatBudget(status.budget)],
    ['admission', admission.length === 0 ? 'none' : admission.map(formatAdmission).join('; ')],
  ] as const;
  const width = Math.max(...rows.map(([name]) => name.length));
  return rows.map(([name, value]) => `${name.padEnd(width)}  ${value}`).join('\n');
}

/**
 * Reads the status page of the relay whose metrics port is at `address`, `HOST:PORT`. Returns the
 * parsed JSON, or a one-line error message.
 */
export async function readRelayStatus(address: string): Promise<Result<unknown, string>> {
  const url = `http://${address.replace(/^http:\/\//, '')}${PATH}`;
  const reply = await callHttp({ method: 'GET', url, timeoutMs: TIMEOUT_MS });
  if (reply.isErr) return Result.err(`${url}: ${reply.error.detail}`);
  const { status, body } = reply.value;
  if (status !== OK) return Result.err(`${url}: status ${String(status)}`);
  const value = parseJson(body);
  const isStatus = relayStatusReply.safeParse(value).success;
  return isStatus ? Result.ok(value) : Result.err(`${url}: not the status page of a relay`);
}
