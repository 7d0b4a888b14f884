import { newOwner, SystemClock } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { FleetView, ReadQueue, RetryBudget } from '@poppypond/fleet';
import { ConfigurationInForce, Freshness } from '@poppypond/routing';
import {
  BoundedOutput,
  createLog,
  lineText,
  Measures,
  writeStandardOutput,
} from '@poppypond/telemetry';
import type { Log } from '@poppypond/telemetry';
import { PeerMesh } from './peers/peer-mesh.js';
import type { PeerSender } from './peers/peer-mesh.js';
import { SharedKnowledge } from './peers/shared-knowledge.js';
import type { PlatformPorts } from './ports.js';
import type { RelayParts } from './request/relay-parts.js';
import type { RelaySettings } from './settings.js';
import { CountedStore } from './store/counted-store.js';
import { ServerList } from './store/server-list.js';

/** What one relay process consists of before it has opened any port. */
export interface RelayBase {
  readonly settings: RelaySettings;
  readonly ports: PlatformPorts;
  /** Names this life of the process; new with each start. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly output: BoundedOutput;
  readonly log: Log;
  readonly measures: Measures;
  readonly inForce: ConfigurationInForce;
  readonly freshness: Freshness;
  readonly fleet: FleetView;
  readonly queue: ReadQueue;
  readonly servers: ServerList;
  readonly knowledge: SharedKnowledge;
}

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
  const servers = new ServerList(clock, log);
  const measures = new Measures();
  return {
    settings,
    ports: { ...ports, store: new CountedStore(ports.store, measures) },
    incarnation,
    clock,
    output,
    log,
    measures,
    inForce,
    freshness,
    fleet: new FleetView(),
    queue: new ReadQueue(),
    servers,
    knowledge: new SharedKnowledge({ clock, inForce, freshness, list: servers }),
  };
}

/** Makes the mesh that speaks to other relays through `sender`. */
export function composePeers(base: RelayBase, sender: PeerSender): PeerMesh {
  const { clock, log, fleet, queue, knowledge, incarnation } = base;
  const { host, address, peerPort } = base.settings;
  const self = { host, address, port: peerPort, incarnation };
  return new PeerMesh({ clock, log, sender, self, fleet, queue, knowledge });
}

/** Makes what every request shares. */
export function composeParts(base: RelayBase, peers: PeerMesh): RelayParts {
  const { clock, log, measures, inForce, freshness, fleet, queue, servers, settings } = base;
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
    memory: base.ports.memory,
    inForce,
    freshness,
    keysTrustedMs: settings.keysTrustedMs - KEY_MARGIN_MS,
    fleet,
    queue,
    servers,
    peers,
    budget: new RetryBudget(clock, retryFigures, () => peers.hostCount),
    draw: Math.random,
  };
}
