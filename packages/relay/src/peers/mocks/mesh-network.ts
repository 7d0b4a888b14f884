import type { Clock, Milliseconds } from '@poppypond/core';
import {
  EvacuatedZones,
  FleetView,
  Quarantine,
  ServerBackoffs,
  ServerSpeeds,
  UsualDurations,
} from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ENGINE_FIGURES, ENGINE_SERVICE, engineServer, ManualClock } from '@poppypond/mocks';
import { ActiveConfiguration, Freshness } from '@poppypond/routing';
import type { ColdStart, RoutingConfiguration } from '@poppypond/routing';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { composeRates } from '../../notices/compose-rates.js';
import type { ServerRates } from '../../notices/compose-rates.js';
import { ServerNotices } from '../../notices/server-notices.js';
import { SpeedNotices } from '../../notices/speed-notices.js';
import type { SpeedNoticesParts } from '../../notices/speed-notices.js';
import { PlacementClient } from '../../planning/placement-client.js';
import type { PlanAnswer } from '../../planning/plan-request.js';
import { Planner } from '../../planning/planner.js';
import { PartQuarantine } from '../../quarantine/part-quarantine.js';
import { SharedQuarantine } from '../../quarantine/shared-quarantine.js';
import type { SharedQuarantineParts } from '../../quarantine/shared-quarantine.js';
import { Evacuations } from '../../store/evacuations.js';
import { ServerList } from '../../store/server-list.js';
import { decodeMessage, encodeMessage } from '../peer-messages.js';
import type { PeerAddress } from '../peer-list.js';
import type { PeerMessage } from '../peer-messages.js';
import { PeerMesh } from '../peer-mesh.js';
import { StoreSyncState } from '../store-sync-state.js';

/** Clock of one process: the common clock, counted from the start of the process. */
function processClock(shared: ManualClock, startedAtMs: Milliseconds): Clock {
  return {
    monotonicMs: () => shared.monotonicMs() - startedAtMs,
    wallMs: () => shared.wallMs(),
    after: (delayMs, callback) => shared.after(delayMs, callback),
    every: (periodMs, callback) => shared.every(periodMs, callback),
  };
}

interface ReceivedAnswer {
  readonly attemptId: string;
  readonly answer: PlanAnswer;
}

const random = () => 0.5;
/** The engine that the store lists unless a test sets other servers. */
export const ENGINE = engineServer('i-1');

/** The configuration that is active on a host from its start. */
export const CONFIGURATION: RoutingConfiguration = {
  version: 1,
  routes: [],
  services: [{ name: ENGINE_SERVICE, engine: ENGINE_FIGURES }],
  requiresKeys: false,
  workspaces: [],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

function addressOf(port: number): PeerAddress {
  const host = `host-${String(port)}`;
  return { host, address: 'a', port, availabilityZone: 'zone-a', capacity: 1 };
}

/** A message in transit. */
export interface SentMessage {
  readonly from: string;
  readonly to: number;
  readonly message: PeerMessage;
}

/** One host of a `MeshNetwork`. */
export interface Host extends ServerRates {
  readonly mesh: PeerMesh;
  readonly fleet: FleetView;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly list: ServerList;
  readonly syncState: StoreSyncState;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly notices: ServerNotices;
  readonly speedNotices: SpeedNotices;
  readonly evacuations: Evacuations;
  readonly placement: PlacementClient;
  readonly clock: Clock;
  readonly startedAtMs: Milliseconds;
  /** Answers that this host has received from planners. */
  readonly answers: ReceivedAnswer[];
}

function createSpeedNotices(parts: Omit<SpeedNoticesParts, 'durations'>): SpeedNotices {
  return new SpeedNotices({ ...parts, durations: new UsualDurations() });
}

function createQuarantines(parts: Omit<SharedQuarantineParts, 'quarantine'>) {
  const quarantine = new SharedQuarantine({ ...parts, quarantine: new Quarantine() });
  return { quarantine, partQuarantine: new PartQuarantine({ ...parts, quarantine }) };
}

/** Hosts whose messages are delivered when the test requests it. */
export class MeshNetwork {
  readonly clock = new ManualClock();
  readonly sent: SentMessage[] = [];
  readonly hosts = new Map<number, Host>();
  /** Ports of the hosts that have no room for new callers. */
  readonly full = new Set<number>();
  /** Servers that the store lists for each host from its start. */
  servers: readonly BackendServer[] = [ENGINE];
  /** Cold starts by service; none unless a test sets them. */
  readonly coldStarts = new Map<string, ColdStart>();
  /** Number of availability zones, over which hosts are distributed round-robin. */
  zones = 1;
  /** Whether hosts that are started follow evacuations of zones. */
  followsEvacuations = false;
  /** Whether hosts that are started observe the speeds and failure rates of servers. */
  observesServerSpeeds = false;
  /** Whether a message is lost. */
  lost: (message: PeerMessage, to: string) => boolean = () => false;
  /** Hosts that others have reported as permanently gone. */
  readonly gone: string[] = [];
  #incarnations = 0;

  /**
   * Starts a host that has read from the store that the hosts at the ports `known` are members. It
   * has not read the server list if `hasServerList` is false, nor the members if `isListed` is
   * false.
   */
  start(port: number, known: readonly number[], hasServerList = true, isListed = true): Host {
    const startedAtMs = this.clock.monotonicMs();
    const clock = processClock(this.clock, startedAtMs);
    const activeConfiguration = new ActiveConfiguration();
    activeConfiguration.apply(CONFIGURATION);
    const freshness = new Freshness(clock);
    const zones = new EvacuatedZones(this.followsEvacuations);
    const rows = { evacuatedZoneOf: (key: string) => key };
    const evacuations = new Evacuations({ clock, log: silentLog, freshness, rows, zones });
    const list = new ServerList(clock, silentLog, 0, zones);
    const fleet = new FleetView(new ServerSpeeds(this.observesServerSpeeds));
    this.#incarnations += 1;
    const syncState = new StoreSyncState({ clock, activeConfiguration, freshness, list });
    const metrics = new PrometheusMetrics();
    const own = { clock, log: silentLog, metrics, host: addressOf(port).host };
    const rests = new ServerBackoffs(random);
    const serverRates = this.#composeRates({ ...own, servers: list, listStaleAfterMs: 2000 });
    const { limits, rates, coldNotices } = serverRates;
    const notices = new ServerNotices({ ...own, servers: list, rests, limits, coldNotices });
    const speedNotices = createSpeedNotices({ ...own, servers: list, speeds: fleet.speeds });
    const quarantines = createQuarantines(own);
    const answers: ReceivedAnswer[] = [];
    const planner: Planner = new Planner({
      clock,
      activeConfiguration,
      servers: list,
      fleet,
      random,
      limits: rates,
      limitPartOf: (service, isFallback) => mesh.limitPart(service, isFallback),
    });
    const mesh: PeerMesh = new PeerMesh({
      clock,
      log: silentLog,
      sender: {
        send: (_address, to, message) => {
          this.sent.push({ from: addressOf(port).host, to, message });
        },
      },
      self: { ...this.addressOf(port), incarnation: `life-${String(this.#incarnations)}` },
      fleet,
      planner,
      engineServices: () => [ENGINE_SERVICE],
      onPlan: (attemptId, answer, from) => {
        answers.push({ attemptId, answer });
        placement.onPlanAnswer(attemptId, answer, from);
      },
      syncState,
      ...quarantines,
      notices,
      limits,
      evacuations,
      coldNotices,
      speedNotices,
      isFull: () => this.full.has(port),
      heartbeatPeriodMs: 500,
      onGone: (gone) => this.gone.push(gone),
    });
    coldNotices.setAlivePeerCount(() => mesh.aliveCount);
    evacuations.onReopened((zone, atMs) => {
      coldNotices.recordReopenedZone(zone, atMs);
    });
    const placement = new PlacementClient({
      clock,
      log: silentLog,
      host: addressOf(port).host,
      peers: mesh,
      planner,
    });
    if (hasServerList) list.replace(this.servers, 0, 1);
    const state = { activeConfiguration, freshness, list, syncState, notices, ...quarantines };
    const started = { ...serverRates, speedNotices, evacuations, startedAtMs, answers };
    const host = { mesh, fleet, placement, clock, ...state, ...started };
    this.hosts.set(port, host);
    mesh.start();
    if (isListed) mesh.addMembers(known.map((other) => this.addressOf(other)));
    return host;
  }

  #composeRates(parts: Parameters<typeof composeRates>[0]): ServerRates {
    return composeRates(parts, (service) => this.coldStarts.get(service));
  }

  addressOf(port: number): PeerAddress {
    return { ...addressOf(port), availabilityZone: `zone-${String(port % this.zones)}` };
  }

  /** Delivers the message at `index`, unless it is lost. */
  deliver(index: number): void {
    const [sent] = this.sent.splice(index, 1);
    const message = sent && decodeMessage(encodeMessage(sent.message));
    if (sent && message && !this.lost(message, addressOf(sent.to).host))
      this.hosts.get(sent.to)?.mesh.receive(message, 'a');
  }

  /** Advances the clock in steps, and delivers every message at once. */
  async run(forMs: Milliseconds, stepMs: Milliseconds = 50): Promise<void> {
    for (let passedMs = 0; passedMs < forMs; passedMs += stepMs) {
      await this.clock.advance(stepMs);
      while (this.sent.length > 0) this.deliver(0);
    }
  }
}
