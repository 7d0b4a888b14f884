import type { Milliseconds } from '@poppypond/core';
import type { RelayBase } from '../compose.js';
import type { PeerMesh } from '../peers/peer-mesh.js';
import type { Planner } from '../planning/planner.js';

/** Path of the status page on the metrics port. */
export const STATUS_PATH = '/-/status';

/** Entries of each list of the page; the counts beside them are complete. */
const MAX_ENTRIES = 100;

/** What the status page shows beside the base of a relay. */
export interface StatusSources {
  readonly peers: PeerMesh;
  readonly planner: Planner;
  readonly openCount: number;
  readonly isReady: boolean;
}

interface Listed<Entry> {
  readonly count: number;
  /** The first `MAX_ENTRIES`. */
  readonly first: readonly Entry[];
}

function listOf<Entry>(entries: readonly Entry[]): Listed<Entry> {
  return { count: entries.length, first: entries.slice(0, MAX_ENTRIES) };
}

/** JSON has no infinite numbers: an age that is unknown is null. */
function age(ageMs: Milliseconds): number | null {
  return Number.isFinite(ageMs) ? Math.round(ageMs) : null;
}

function evacuationsOf({ evacuations, clock }: RelayBase) {
  if (!evacuations.isEnabled) return null;
  const nowMs = clock.monotonicMs();
  const { current } = evacuations;
  return {
    version: current?.version ?? null,
    ageMs: age(evacuations.ageMs),
    zones: current?.zones ?? null,
    withdrawn: evacuations.recentlyWithdrawn().map(({ zone, version, atMs }) => {
      return { zone, version, agoMs: age(nowMs - atMs) };
    }),
  };
}

function serversOf(base: RelayBase) {
  const { bounds, clock, coldNotices, fleet, limits, servers } = base;
  const nowMs = clock.monotonicMs();
  const cold = coldNotices.parts.cold.all(nowMs).map(({ server, source, untilMs }) => {
    return { id: server.id, service: server.service, source, leftMs: age(untilMs - nowMs) };
  });
  const limited = limits
    .all(nowMs)
    .filter(({ isLifted }) => !isLifted)
    .map(({ server, perSecond }) => ({ id: server.id, service: server.service, perSecond }));
  const suspected = fleet.suspicions.all(nowMs).map(({ serverId, leftMs }) => {
    return { id: serverId, leftMs: Math.round(leftMs) };
  });
  const slow = fleet.speeds.slowServers(nowMs).map(({ serverId, slowdown }) => {
    return { id: serverId, slowdown };
  });
  const listed = servers.isKnown ? servers.listed.servers : [];
  return {
    listed: listed.length,
    ageMs: age(servers.freshness.ageMs()),
    cold: listOf(cold),
    limited: listOf(limited),
    slow: listOf(slow),
    suspected: listOf(suspected),
    atBound: bounds.atBound(nowMs),
  };
}

function rolesOf({ activeConfiguration, settings }: RelayBase, peers: PeerMesh) {
  const services = activeConfiguration.table?.configuration.services ?? [];
  const planned = services.flatMap(({ name }) => {
    const place = peers.plannersOf(name).indexOf(settings.host);
    if (place < 0) return [];
    return [{ service: name, role: place === 0 ? 'planner' : 'standby' }];
  });
  return { isStoreReader: peers.isReader(), planned };
}

/** The state of a relay, as the status page shows it. All values are plain JSON. */
export function relayStatus(base: RelayBase, sources: StatusSources) {
  const { activeConfiguration, freshness, hostBudget, hostFullness, incarnation, settings } = base;
  const { peers, planner, openCount, isReady } = sources;
  return {
    host: settings.host,
    zone: settings.availabilityZone,
    incarnation,
    isReady,
    openRequests: openCount,
    roles: rolesOf(base, peers),
    peers: { alive: peers.aliveCount, hosts: age(peers.hostCount) },
    configuration: { version: activeConfiguration.version, ageMs: age(freshness.ageMs()) },
    evacuations: evacuationsOf(base),
    servers: serversOf(base),
    budget: hostBudget.isEnabled
      ? {
          usedBytes: hostBudget.usedBytes,
          limitBytes: hostBudget.size?.limitBytes ?? null,
          level: hostBudget.level,
          isFull: hostFullness.isFull,
        }
      : null,
    admission: planner.admissions.levels(),
    waitingRequests: planner.waitingCount,
  };
}
