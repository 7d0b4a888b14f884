import { newOwner, SystemClock } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import {
  FleetView,
  Quarantine,
  RestingServers,
  RetryBudget,
  ServerLimits,
  TurnedAway,
} from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { ConfigurationInForce, Freshness } from '@poppypond/routing';
import {
  BoundedOutput,
  createLog,
  lineText,
  Measures,
  writeStandardOutput,
} from '@poppypond/telemetry';
import type { Log } from '@poppypond/telemetry';
import { LifeAwareMemory } from './backend/life-aware-memory.js';
import { Permits } from './notices/permits.js';
import { SendGate } from './notices/send-gate.js';
import { ServerNotices } from './notices/server-notices.js';
import { PauseWatch } from './pause-watch.js';
import type { PeerAddress } from './peers/peer-list.js';
import { PeerMesh } from './peers/peer-mesh.js';
import type { PeerSender } from './peers/peer-mesh.js';
import { SharedKnowledge } from './peers/shared-knowledge.js';
import { EarlierWork } from './planning/earlier-work.js';
import { Placing } from './planning/placing.js';
import { Planner } from './planning/planner.js';
import type { EngineMemory, PlatformPorts, ServerWord } from './ports.js';
import { SharedQuarantine } from './quarantine/shared-quarantine.js';
import type { RelayParts } from './request/relay-parts.js';
import type { RelaySettings } from './settings.js';
import { CountedStore } from './store/counted-store.js';
import { KeyTrust } from './store/key-trust.js';
import { ServerList } from './store/server-list.js';

/** What one relay process consists of before it has opened any port. */
export interface RelayBase {
  readonly settings: RelaySettings;
  readonly ports: PlatformPorts;
  readonly store: CountedStore;
  /** Names this life of the process; new with each start. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly output: BoundedOutput;
  readonly log: Log;
  readonly measures: Measures;
  readonly inForce: ConfigurationInForce;
  readonly freshness: Freshness;
  readonly fleet: FleetView;
  readonly servers: ServerList;
  readonly memory: EngineMemory;
  readonly knowledge: SharedKnowledge;
  readonly limits: ServerLimits;
  readonly notices: ServerNotices;
  readonly gate: SendGate;
  readonly keyTrust: KeyTrust;
  readonly quarantine: SharedQuarantine;
  readonly pauses: PauseWatch;
}

/** A server that leaves is sent nothing this long before it must be sent nothing, for the way to it. */
const LAST_RESORT_MARGIN_MS: Milliseconds = 200;
const draw = Math.random;

/** A key counts for this much less than allowed, for the way between check and use. */
const KEY_MARGIN_MS: Milliseconds = 200;
const MS_PER_SECOND = 1000;

/** Makes what a relay consists of before it opens its ports. */
export function composeBase(settings: RelaySettings, ports: PlatformPorts): RelayBase {
  const { host, logLevel } = settings;
  const { incarnation } = newOwner(host);
  const clock = new SystemClock();
  const output = new BoundedOutput(clock, writeStandardOutput, (counts) => {
    return `${lineText({ event: 'lines_dropped', host, ...counts })}\n`;
  });
  const log = createLog({ host }, logLevel, (line, level) => {
    output.line(line, level === 'info' || level === 'debug' ? 'ordinary' : 'important');
  });
  const inForce = new ConfigurationInForce();
  const freshness = new Freshness(clock);
  const servers = new ServerList(clock, log, settings.leavingWithinMs - LAST_RESORT_MARGIN_MS);
  const fleet = new FleetView();
  const limits = new ServerLimits();
  servers.onNewLife(({ id }) => {
    fleet.forgetServer(id);
    limits.forget(id);
  });
  const measures = new Measures();
  const rests = new RestingServers(draw);
  const notices = new ServerNotices({ clock, log, measures, host, servers, rests, limits });
  const gate = new SendGate({ clock, servers, rests, limits, draw });
  const words = {
    onBirthTold: (asked: BackendServer, bornMs: Milliseconds) => {
      servers.onBirthTold(asked, bornMs);
    },
    onWord: (asked: BackendServer, word: ServerWord) => {
      notices.hear(asked, word);
    },
  };
  const memory = new LifeAwareMemory(ports.memory, words, gate);
  const pauses = new PauseWatch(clock);
  pauses.onPause(() => {
    gate.onPause();
  });
  const knowledge = new SharedKnowledge({ clock, inForce, freshness, list: servers });
  const keyTrust = new KeyTrust(
    { clock, log, measures, inForce, freshness, knowledge },
    { trustedMs: settings.keysTrustedMs - KEY_MARGIN_MS, needsProof: settings.keysNeedProof },
  );
  const quarantine = new SharedQuarantine({
    clock,
    log,
    measures,
    host,
    quarantine: new Quarantine(),
  });
  return {
    settings,
    ports,
    store: new CountedStore(ports.store, measures),
    incarnation,
    clock,
    output,
    log,
    measures,
    inForce,
    freshness,
    fleet,
    servers,
    memory,
    knowledge,
    limits,
    notices,
    gate,
    keyTrust,
    quarantine,
    pauses,
  };
}

/**
 * Pause between heartbeats, as a share of the shorter bound on what hosts tell each other: what a
 * reader knows is 0.4 of the bound old at most, and a heartbeat may be lost.
 */
const BEAT_SHARE = 0.25;
/** Heartbeats mend what messages about attempts were lost, so they come at least this often. */
const LONGEST_BEAT_PERIOD_MS: Milliseconds = 1000;
const SHORTEST_BEAT_PERIOD_MS: Milliseconds = 100;

function beatPeriodMs({ configurationWithinMs, leavingWithinMs }: RelaySettings): Milliseconds {
  const shareMs = BEAT_SHARE * Math.min(configurationWithinMs, leavingWithinMs);
  return Math.max(SHORTEST_BEAT_PERIOD_MS, Math.min(LONGEST_BEAT_PERIOD_MS, shareMs));
}

/** How other relays reach this one. */
export function selfAddress(settings: RelaySettings): PeerAddress {
  const { host, address, availabilityZone, peerPort, coreShare, coreSpeed } = settings;
  return { host, address, port: peerPort, availabilityZone, capacity: coreShare * coreSpeed };
}

/** Makes the mesh that speaks to other relays through `sender`, and what plans with them. */
export function composePeers(
  base: RelayBase,
  sender: PeerSender,
  onGone: (host: string) => void,
): { readonly peers: PeerMesh; readonly placing: Placing; readonly planner: Planner } {
  const { clock, log, fleet, inForce, knowledge, limits, notices, quarantine } = base;
  const { incarnation, servers, memory, settings } = base;
  const { host } = settings;
  const readWork = (server: BackendServer) => memory.readWork(server);
  const earlierWork = new EarlierWork({ clock, log, inForce, servers, fleet, readWork });
  const onPlanner = (service: string) => {
    earlierWork.learn(service);
  };
  const planner: Planner = new Planner({
    clock,
    inForce,
    servers,
    fleet,
    draw,
    onPlanner,
    limits,
    partOf: (service, isAlone) => peers.limitPart(service, isAlone),
  });
  const peers: PeerMesh = new PeerMesh({
    clock,
    log,
    sender,
    self: { ...selfAddress(settings), incarnation },
    fleet,
    planner,
    engineServices: () => inForce.table?.engineServices ?? [],
    onPlan: (attemptId, answer) => {
      placing.hear(attemptId, answer);
    },
    knowledge,
    quarantine,
    notices,
    limits,
    beatPeriodMs: beatPeriodMs(settings),
    onGone,
  });
  const placing = new Placing({ clock, log, host, peers, planner });
  return { peers, placing, planner };
}

/** Makes what every request shares. */
export function composeParts(base: RelayBase, peers: PeerMesh, placing: Placing): RelayParts {
  const { clock, log, measures, inForce, freshness, keyTrust, quarantine } = base;
  const { fleet, servers, settings, pauses } = base;
  const permits = new Permits({ clock, host: settings.host, placing, draw });
  base.gate.askAt(permits);
  const retryFigures = {
    ratio: settings.retryRatio,
    windowMs: settings.retryWindowSeconds * MS_PER_SECOND,
    slack: settings.retrySlack,
  };
  return {
    clock,
    host: settings.host,
    log,
    measures,
    wire: base.ports.wire,
    memory: base.memory,
    inForce,
    freshness,
    keyTrust,
    quarantine,
    pauses,
    notices: base.notices,
    gate: base.gate,
    permits,
    turnedAway: new TurnedAway(),
    fleet,
    servers,
    peers,
    placing,
    budget: new RetryBudget(clock, retryFigures, () => peers.hostCount),
    draw,
  };
}
