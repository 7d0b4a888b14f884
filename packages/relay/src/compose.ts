import { newOwner, SystemClock } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import {
  EvacuatedZones,
  FleetView,
  Quarantine,
  ServerBackoffs,
  RetryBudget,
  RecentRejections,
  ServerSpeeds,
  UsualDurations,
  ZoneRegions,
  equalConnectionShare,
  plannedConnections,
} from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ActiveConfiguration, Freshness } from '@poppypond/routing';
import {
  BoundedOutput,
  createLog,
  formatFields,
  PrometheusMetrics,
  writeStandardOutput,
} from '@poppypond/telemetry';
import type { Log } from '@poppypond/telemetry';
import { composeConnections } from './connections/compose-connections.js';
import type { Connections } from './connections/compose-connections.js';
import { GatedEngineMemory } from './backend/gated-engine-memory.js';
import { logAvoidance } from './notices/avoidance-log.js';
import { composeRates } from './notices/compose-rates.js';
import type { ServerRates } from './notices/compose-rates.js';
import { budgetSizeOf } from './host/budget-size.js';
import { HostBudget } from './host/host-budget.js';
import { HostFullness } from './host/host-fullness.js';
import { linkUseOf } from './host/link-use.js';
import { PermitClient } from './notices/permit-client.js';
import { SendGate } from './notices/send-gate.js';
import { ServerNotices } from './notices/server-notices.js';
import { PaceCheck } from './notices/pace-check.js';
import { SpeedNotices } from './notices/speed-notices.js';
import { PauseDetector } from './pause-detector.js';
import type { PeerAddress } from './peers/peer-list.js';
import { PeerMesh } from './peers/peer-mesh.js';
import type { PeerSender } from './peers/peer-mesh.js';
import { StoreSyncState } from './peers/store-sync-state.js';
import { OrphanedWork } from './planning/orphaned-work.js';
import { PlacementClient } from './planning/placement-client.js';
import { Planner } from './planning/planner.js';
import type { EngineMemory, PlatformPorts, ServerNotice } from './ports.js';
import { PartQuarantine } from './quarantine/part-quarantine.js';
import { SharedQuarantine } from './quarantine/shared-quarantine.js';
import { PlannedStop } from './request/planned-stop.js';
import type { RelayParts } from './request/relay-parts.js';
import { RequestDurations } from './request/request-durations.js';
import type { RelaySettings } from './settings.js';
import { ConfirmedZones } from './store/confirmed-zones.js';
import { CountedStore } from './store/counted-store.js';
import { Evacuations } from './store/evacuations.js';
import { KeyTrust } from './store/key-trust.js';
import { ServerList } from './store/server-list.js';
import { UnexpectedErrors } from './unexpected-errors.js';

/** The parts of a relay process that exist before it opens a port. */
export interface RelayBase extends ServerRates, Connections {
  readonly settings: RelaySettings;
  readonly ports: PlatformPorts;
  readonly store: CountedStore;
  /** Identifies this incarnation of the process; new on each start. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly output: BoundedOutput;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly unexpectedErrors: UnexpectedErrors;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly fleet: FleetView;
  readonly stop: PlannedStop;
  readonly servers: ServerList;
  readonly memory: EngineMemory;
  readonly syncState: StoreSyncState;
  readonly evacuations: Evacuations;
  readonly confirmedZones: ConfirmedZones;
  readonly regions: ZoneRegions;
  readonly notices: ServerNotices;
  readonly speedNotices: SpeedNotices;
  readonly gate: SendGate;
  readonly keyTrust: KeyTrust;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly pauseDetector: PauseDetector;
  /** Bytes held for callers, servers and peers. */
  readonly hostBudget: HostBudget;
  readonly hostFullness: HostFullness;
}

/** Requests to a leaving server stop this long before the bound, to allow for network delay. */
const LAST_RESORT_MARGIN_MS: Milliseconds = 200;
const random = Math.random;

function lastResortMs({ leavingWithinMs }: RelaySettings): Milliseconds {
  return leavingWithinMs - LAST_RESORT_MARGIN_MS;
}

/**
 * Keys are trusted for this much less than configured, to allow for the time between check and use.
 */
const KEY_MARGIN_MS: Milliseconds = 200;
const MS_PER_SECOND = 1000;

/** Creates the server list and what decides how much may be sent to each server. */
function composeServers(
  settings: RelaySettings,
  ports: PlatformPorts,
  parts: Pick<RelayBase, 'clock' | 'log' | 'metrics' | 'activeConfiguration' | 'freshness'>,
): Pick<RelayBase, 'evacuations' | 'servers' | keyof ServerRates> {
  const { clock, log, activeConfiguration, freshness } = parts;
  const { host, evacuateWithinMs: withinMs, leavingWithinMs: listStaleAfterMs } = settings;
  const zones = new EvacuatedZones(withinMs !== undefined);
  const evacuations = new Evacuations({ clock, log, freshness, rows: ports.rows, zones, withinMs });
  const servers = new ServerList(clock, log, lastResortMs(settings), zones);
  const coldAllowance = {
    rateFactor: settings.coldRateFactor,
    extraRequests: settings.coldExtraRequests,
  };
  const describe = (service: string) => activeConfiguration.table?.service(service);
  const rates = composeRates(
    { ...parts, host, servers, listStaleAfterMs, coldAllowance },
    (service) => (settings.limitsColdServers ? describe(service)?.coldStart : undefined),
    (service) => describe(service)?.engine === undefined,
  );
  evacuations.onReopened((zone, atMs) => {
    rates.coldNotices.recordReopenedZone(zone, atMs);
  });
  return { evacuations, servers, ...rates };
}

function composeHostBudget(
  { memoryMegabytes, linkMegabitsPerSecond }: RelaySettings,
  clock: Clock,
): Pick<RelayBase, 'hostBudget' | 'hostFullness'> {
  const link = linkUseOf(clock, linkMegabitsPerSecond);
  const hostBudget = new HostBudget(budgetSizeOf(memoryMegabytes), link);
  return { hostBudget, hostFullness: new HostFullness(clock, hostBudget, random) };
}

function gateMemory(
  memory: EngineMemory,
  { gate, servers, notices }: Pick<RelayBase, 'gate' | 'servers' | 'notices'>,
  confirmedZones: ConfirmedZones,
  paceCheck: PaceCheck,
): GatedEngineMemory {
  const handlers = {
    onStartTime: (queried: BackendServer, startedAtMs: Milliseconds) => {
      servers.onStartTime(queried, startedAtMs);
    },
    onNotice: (server: BackendServer, word: ServerNotice) => {
      notices.recordNotice(server, word);
    },
    onPace: (server: BackendServer, pace: number) => {
      paceCheck.onPace(server, pace);
    },
  };
  return new GatedEngineMemory(memory, handlers, gate, confirmedZones);
}

function composeTelemetry(
  { host, logLevel }: RelaySettings,
  clock: Clock,
): Pick<RelayBase, 'log' | 'metrics' | 'output' | 'unexpectedErrors'> {
  const output = new BoundedOutput(clock, writeStandardOutput, (counts) => {
    return `${formatFields({ event: 'lines_dropped', host, ...counts })}\n`;
  });
  const log = createLog({ host }, logLevel, (line, level) => {
    output.writeLine(line, level === 'info' || level === 'debug' ? 'ordinary' : 'important');
  });
  const metrics = new PrometheusMetrics();
  return { log, metrics, output, unexpectedErrors: new UnexpectedErrors(log, metrics) };
}

/** Creates the parts of a relay that need no open port. */
export function composeBase(settings: RelaySettings, ports: PlatformPorts): RelayBase {
  const { host } = settings;
  const { incarnation } = newOwner(host);
  const clock = new SystemClock();
  const telemetry = composeTelemetry(settings, clock);
  const { log, metrics } = telemetry;
  const activeConfiguration = new ActiveConfiguration();
  const freshness = new Freshness(clock);
  const fleet = new FleetView(new ServerSpeeds(settings.observesServerSpeeds));
  const shared = { clock, log, metrics, activeConfiguration, freshness };
  const serverViews = composeServers(settings, ports, shared);
  const { evacuations, servers, limits, rates, bounds, coldNotices } = serverViews;
  const own = { clock, log, metrics, host, servers };
  const regions = new ZoneRegions(settings.zoneRegions);
  const { speeds } = fleet;
  const speedNotices = new SpeedNotices({ ...own, speeds, durations: new UsualDurations() });
  servers.onNewIncarnation(({ id, service }) => {
    fleet.forgetServer(id);
    const isEngine = activeConfiguration.table?.service(service)?.engine !== undefined;
    fleet.avoidance.onRestarted(id, clock.monotonicMs(), isEngine);
    limits.forget(id);
  });
  logAvoidance(own, fleet.avoidance);
  const rests = new ServerBackoffs(random);
  const notices = new ServerNotices({ ...own, rests, limits, coldNotices });
  const gate = new SendGate({ clock, servers, rests, limits: rates, bounds, random, regions });
  const paceCheck: PaceCheck = new PaceCheck({
    clock,
    speedNotices,
    readStatus: (server) => memory.readStatus(server),
  });
  const pauseDetector = new PauseDetector(clock);
  const confirmedZones = new ConfirmedZones(clock, evacuations, pauseDetector);
  const gated = { gate, servers, notices };
  const connections = composeConnections(settings, { ...shared, random });
  const ungated = ports.memory(connections.connector);
  const memory = gateMemory(ungated, gated, confirmedZones, paceCheck);
  pauseDetector.onPause(() => {
    evacuations.onPause();
    gate.onPause();
  });
  const syncState = new StoreSyncState({ clock, activeConfiguration, freshness, list: servers });
  const keyTrust = new KeyTrust(
    { ...shared, syncState },
    {
      trustedMs: settings.keysTrustedMs - KEY_MARGIN_MS,
      needsConfirmation: settings.keysNeedProof,
    },
  );
  const quarantine = new SharedQuarantine({ ...own, quarantine: new Quarantine() });
  const partQuarantine = new PartQuarantine({ ...own, quarantine });
  return {
    settings,
    ports,
    store: new CountedStore(ports.store, metrics),
    incarnation,
    clock,
    ...telemetry,
    stop: new PlannedStop(clock, new RequestDurations()),
    activeConfiguration,
    freshness,
    fleet,
    ...serverViews,
    confirmedZones,
    memory,
    syncState,
    regions,
    notices,
    speedNotices,
    ...connections,
    gate,
    keyTrust,
    quarantine,
    partQuarantine,
    pauseDetector,
    ...composeHostBudget(settings, clock),
  };
}

/**
 * Heartbeat period, as a share of the shorter propagation bound: what a store reader knows is at
 * most 0.4 of the bound old, and one heartbeat may be lost.
 */
const HEARTBEAT_SHARE = 0.25;
/** Heartbeats also repair lost messages about attempts, so they are sent at least this often. */
const MAX_HEARTBEAT_PERIOD_MS: Milliseconds = 1000;
const MIN_HEARTBEAT_PERIOD_MS: Milliseconds = 100;

function heartbeatPeriodMs({
  configurationWithinMs,
  evacuateWithinMs = Number.POSITIVE_INFINITY,
  leavingWithinMs,
}: RelaySettings): Milliseconds {
  const withinMs = Math.min(configurationWithinMs, evacuateWithinMs, leavingWithinMs);
  const periodMs = HEARTBEAT_SHARE * withinMs;
  return Math.max(MIN_HEARTBEAT_PERIOD_MS, Math.min(MAX_HEARTBEAT_PERIOD_MS, periodMs));
}

/** Connections that each server of a service accepts from all hosts; undefined if unbounded. */
function maxConnectionsOf({ activeConfiguration }: RelayBase, service: string): number | undefined {
  return activeConfiguration.table?.service(service)?.maxConnections;
}

/** The address at which other relays reach this one. */
export function selfAddress(settings: RelaySettings): PeerAddress {
  const { host, address, availabilityZone, peerPort, coreShare, coreSpeed } = settings;
  return { host, address, port: peerPort, availabilityZone, capacity: coreShare * coreSpeed };
}

/**
 * Creates the mesh that talks to other relays through `sender`, and the planning that builds on it.
 */
export function composePeers(
  base: RelayBase,
  sender: PeerSender,
  onGone: (host: string) => void,
): { readonly peers: PeerMesh; readonly placement: PlacementClient; readonly planner: Planner } {
  const { clock, log, fleet, activeConfiguration, syncState, limits, notices, quarantine } = base;
  const { evacuations, incarnation, servers, memory, settings, rates, bounds, coldNotices } = base;
  const { host } = settings;
  const readStatus = (server: BackendServer) => memory.readStatus(server);
  const orphanedWork = new OrphanedWork({
    clock,
    log,
    activeConfiguration,
    servers,
    fleet,
    readStatus,
  });
  const onServicePlanned = (service: string) => {
    orphanedWork.discover(service);
  };
  const planner: Planner = new Planner({
    clock,
    activeConfiguration,
    servers,
    fleet,
    random,
    onServicePlanned,
    limits: rates,
    bounds,
    log,
    metrics: base.metrics,
    limitPartOf: (service, isFallback) => peers.limitPart(service, isFallback),
    regions: base.regions,
    maxUsesOf: (service, isFallback) =>
      plannedConnections(maxConnectionsOf(base, service), peers.hostCount, isFallback),
  });
  const peers: PeerMesh = new PeerMesh({
    clock,
    log,
    sender,
    self: { ...selfAddress(settings), incarnation },
    fleet,
    planner,
    engineServices: () => activeConfiguration.table?.engineServices ?? [],
    onPlan: (attemptId, answer, from) => {
      placement.onPlanAnswer(attemptId, answer, from);
    },
    syncState,
    quarantine,
    partQuarantine: base.partQuarantine,
    notices,
    limits,
    evacuations,
    coldNotices,
    speedNotices: base.speedNotices,
    isFull: () => base.hostFullness.isFull,
    heartbeatPeriodMs: heartbeatPeriodMs(settings),
    onGone,
  });
  coldNotices.setAlivePeerCount(() => peers.aliveCount);
  bounds.setKnownHosts(() => peers.knownHosts());
  base.forwardingPeers.setMembers(() => peers.members());
  const placement = new PlacementClient({ clock, log, host, peers, planner });
  return { peers, placement, planner };
}

/** Creates the parts that all requests share. */
export function composeParts(
  base: RelayBase,
  peers: PeerMesh,
  placement: PlacementClient,
): RelayParts {
  const { clock, log, metrics, activeConfiguration, freshness, keyTrust, quarantine } = base;
  const { fleet, servers, settings, pauseDetector } = base;
  const permits = new PermitClient({
    clock,
    host: settings.host,
    placement,
    random,
  });
  base.gate.setPermitSource(permits);
  base.gate.setConnectionBound({
    // The planner knows what runs on an engine; calls of plain services are known to their host.
    mayConnect: ({ id, service }) =>
      activeConfiguration.table?.service(service)?.engine !== undefined ||
      fleet.writersOn(id) < equalConnectionShare(maxConnectionsOf(base, service), peers.hostCount),
  });
  const retryFigures = {
    ratio: settings.retryRatio,
    windowMs: settings.retryWindowSeconds * MS_PER_SECOND,
    slack: settings.retrySlack,
  };
  return {
    clock,
    host: settings.host,
    log,
    metrics,
    unexpectedErrors: base.unexpectedErrors,
    stop: base.stop,
    wire: base.ports.wire,
    memory: base.memory,
    activeConfiguration,
    freshness,
    keyTrust,
    quarantine,
    partQuarantine: base.partQuarantine,
    pauseDetector,
    hostBudget: base.hostBudget,
    notices: base.notices,
    speedNotices: base.speedNotices,
    reachability: base.reachability,
    connector: base.connector,
    evacuations: base.evacuations,
    confirmedZones: base.confirmedZones,
    gate: base.gate,
    permits,
    recentRejections: new RecentRejections(),
    fleet,
    servers,
    peers,
    placement,
    budget: new RetryBudget(clock, retryFigures, () => peers.hostCount),
    random,
  };
}
