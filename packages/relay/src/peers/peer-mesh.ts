import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type {
  AttemptUse,
  BackendServer,
  FleetView,
  LimitPart,
  ServerLimits,
} from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { PlannerPeers } from '../planning/placement-client.js';
import type { PlanAnswer, PlanRequest } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { ServerNotices } from '../notices/server-notices.js';
import { AttemptExchange } from './attempt-exchange.js';
import { HeartbeatExchange } from './heartbeat-exchange.js';
import { DepartedHosts } from './departed-hosts.js';
import { LeavingExchange } from './leaving-exchange.js';
import { LimitExchange } from './limit-exchange.js';
import { MessageDispatcher } from './message-dispatcher.js';
import { StoreStateExchange } from './store-state-exchange.js';
import { PeerList } from './peer-list.js';
import type { Peer, PeerAddress } from './peer-list.js';
import type { PeerMessage, WireMember } from './peer-messages.js';
import { QuarantineExchange } from './quarantine-exchange.js';
import type { SenderFields } from './sender-fields.js';
import type { StoreSyncState } from './store-sync-state.js';

/** Sends one message to a peer; may lose it. */
export interface PeerSender {
  send(address: string, port: number, message: PeerMessage): void;
}

/** What the mesh needs. */
export interface PeerMeshParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly sender: PeerSender;
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  /** Services of engines that this host may have to plan for or ask for plans. */
  readonly engineServices: () => readonly string[];
  /** Takes in a planner's answer. */
  readonly onPlan: (attemptId: string, answer: PlanAnswer) => void;
  readonly syncState: StoreSyncState;
  readonly quarantine: SharedQuarantine;
  readonly notices: ServerNotices;
  readonly limits: ServerLimits;
  /** Pause between heartbeats. */
  readonly heartbeatPeriodMs: Milliseconds;
  /** Called by one of the first hosts when another is gone for good. */
  readonly onGone: (host: string) => void;
}

/**
 * Of a limit, given out in place of a first host that is silent, and by all that hear nobody together: whether it is
 * gone, or gives still, is not known. With the whole that it may give that is one and a half times the limit.
 */
const STANDBY_SHARE = 0.3;
const FALLBACK_SHARE = 0.2;

/**
 * Speaks with the few hosts that read the store and plan for all, and is one of them where its
 * rank says so. Messages may be lost: each heartbeat holds the sender's whole state, so that a
 * loss is mended within a period.
 */
export class PeerMesh implements PlannerPeers {
  readonly #peers: PeerList;
  readonly #storeState: StoreStateExchange;
  readonly #quarantineExchange: QuarantineExchange;
  readonly #leavingExchange: LeavingExchange;
  readonly #limitExchange: LimitExchange;
  readonly #attempts: AttemptExchange;
  readonly #heartbeats: HeartbeatExchange;
  readonly #dispatcher: MessageDispatcher;
  /** Hosts that were heard and not known before; others are told of them with the next heartbeat. */
  readonly #newcomers = new Set<string>();
  readonly #departed: DepartedHosts;
  #cancel: CancelTimer = () => undefined;
  #isStopped = false;
  #areMembersKnown = false;

  constructor(readonly parts: PeerMeshParts) {
    this.#peers = new PeerList(parts.clock, parts.self, () => parts.planner.canPlan);
    this.#departed = new DepartedHosts(parts.clock);
    const { clock, log, self, fleet, planner, syncState, quarantine } = parts;
    const { engineServices, limits, notices } = parts;
    const exchangeParts = {
      clock,
      peers: this.#peers,
      send: (peers: readonly Peer[], message: PeerMessage) => {
        this.#sendAll(peers, message);
      },
      senderFields: () => this.#senderFields(),
    };
    const onApplied = (host: string) => {
      this.#heartbeats.requestConfirmation(host);
    };
    this.#storeState = new StoreStateExchange({ ...exchangeParts, log, syncState, onApplied });
    this.#quarantineExchange = new QuarantineExchange({ ...exchangeParts, quarantine });
    this.#leavingExchange = new LeavingExchange({ ...exchangeParts, notices });
    this.#limitExchange = new LimitExchange({ ...exchangeParts, notices, limits });
    const planningParts = { fleet, planner, syncState, limitExchange: this.#limitExchange };
    this.#attempts = new AttemptExchange({
      ...exchangeParts,
      ...planningParts,
      host: self.host,
      engineServices,
    });
    this.#heartbeats = new HeartbeatExchange({
      ...exchangeParts,
      ...planningParts,
      self,
      quarantineExchange: this.#quarantineExchange,
      engineServiceCount: () => engineServices().length,
      isPlanner: (host) => this.#attempts.isPlanner(host),
    });
    this.#dispatcher = new MessageDispatcher({
      ...exchangeParts,
      ...planningParts,
      heartbeats: this.#heartbeats,
      news: this.#storeState,
      attempts: this.#attempts,
      quarantineExchange: this.#quarantineExchange,
      leavingExchange: this.#leavingExchange,
      onPlan: parts.onPlan,
      onMembers: (members) => {
        this.#addReportedMembers(members);
      },
      onLeft: (host) => {
        this.#departed.onLeft(host);
        this.#removePeer(host, 'left');
      },
    });
  }

  /** Whether this host is one of the few that read the store for all. */
  isReader(): boolean {
    const { host } = this.parts.self;
    if (this.parts.syncState.isStoreLost) return false;
    return this.#peers.isStoreReader(host);
  }

  /** How many hosts come before this one where the store is to be tried again; 0 for the first few. */
  get turn(): number {
    return this.#peers.turn;
  }

  /** Tells all known hosts what the store has told. */
  publishStoreState(): void {
    this.#storeState.publish();
  }

  /** Begins to send heartbeats. */
  start(): void {
    this.#heartbeats.requestFromPeers();
    this.#cancel = this.parts.clock.every(this.parts.heartbeatPeriodMs, () => {
      this.#tick();
    });
  }

  /**
   * Adds all hosts that are listed as members, and asks those that this one has to hear of. One of
   * the first hosts greets all, as those that came before it may take others for the first.
   */
  addMembers(known: readonly PeerAddress[]): void {
    this.#areMembersKnown = true;
    const added = known.filter((peer) => this.#add(peer));
    this.#heartbeats.requestFromPeers();
    if (!this.#peers.isTopRanked()) return;
    for (const { host } of added) this.#heartbeats.send(host, true);
  }

  /** This process stood still: it asks at once what holds, and plans for nobody until it has heard others. */
  onPause(): void {
    this.#peers.onPause();
    this.#heartbeats.requestFromPeers();
  }

  /** Tells all hosts heard lately that this one leaves; sends and takes in nothing afterwards. */
  stop(): void {
    if (this.#isStopped) return;
    this.#cancel();
    this.#isStopped = true;
    this.#sendAll(this.#peers.alive(), { kind: 'leave', ...this.#senderFields() });
  }

  /** Hosts that share budgets with this one, itself included; infinite while that is not known. */
  get hostCount(): number {
    return this.#areMembersKnown ? this.#peers.memberCount : Number.POSITIVE_INFINITY;
  }

  /**
   * What this host may give out of the limits of servers of a service. The first in rank gives for the part of the listed
   * hosts that it hears, so that halves that are cut apart, which each have a first, keep the sum.
   */
  limitPart(service: string, isFallback: boolean): LimitPart {
    const hosts = this.hostCount;
    if (isFallback) return { role: 'alone', share: FALLBACK_SHARE / hosts };
    const heardShare = (this.#peers.aliveCount + 1) / hosts;
    const isFirst = this.plannersOf(service)[0] === this.parts.self.host;
    if (isFirst) return { role: 'first', share: heardShare };
    return { role: 'stand_in', share: STANDBY_SHARE * heardShare };
  }

  /** Peers heard from lately. */
  get aliveCount(): number {
    return this.#peers.aliveCount;
  }

  /** Hosts that plan for a service, the first in rank before others; this host may be among them. */
  plannersOf(service: string): readonly string[] {
    return this.#attempts.plannersOf(service);
  }

  /** Asks `planner`; the answers go to `onPlan`, or are lost. */
  askPlan(planner: string, request: PlanRequest): void {
    this.#attempts.askPlan(planner, request);
  }

  /** Tells `planner` that an attempt won't run by its plan. */
  withdrawPlan(planner: string, attemptId: string): void {
    this.#attempts.withdrawPlan(planner, attemptId);
  }

  /** An attempt begins; planners of `service` are told, where there are any. */
  begin(use: AttemptUse, service: string | undefined): void {
    this.#attempts.begin(use, service);
  }

  /** The first event of an attempt has come. `service`: undefined where planners need not know. */
  onPrefillDone(attemptId: string, service: string | undefined): void {
    this.#attempts.onPrefillDone(attemptId, service);
  }

  /** An attempt is over, or won't begin. */
  end(attemptId: string, service: string | undefined): void {
    this.#attempts.end(attemptId, service);
  }

  /** Has all hosts that choose among servers of `service` avoid one that failed; for how long from now. */
  suspect(server: string, service: string): Milliseconds {
    return this.#attempts.suspect(server, service);
  }

  /** Has all hosts that choose among servers of its service leave out one that is gone. */
  broadcastServerGone(server: BackendServer): void {
    this.#attempts.broadcastServerGone(server);
  }

  /** Takes in one message; `address` is where it came from. */
  receive(message: PeerMessage, address: string): void {
    if (this.#isStopped || message.host === this.parts.self.host) return;
    this.#recordMessage(message, address);
    this.#dispatcher.dispatch(message);
  }

  #recordMessage(message: PeerMessage, address: string): void {
    const { host, incarnation } = message;
    this.#departed.onHeard(host);
    if (this.#peers.find(host)?.address !== address) this.#newcomers.add(host);
    if (!this.#peers.recordMessage(message, address)) return;
    this.parts.fleet.dropHost(host);
    this.parts.log.info('peer_heard', { peer: host, address, incarnation });
    // A heartbeat says all, and is answered where it asks.
    if (message.kind !== 'beat') this.#heartbeats.send(host, true);
  }

  /** Adds hosts that a peer has told of; what they say of themselves goes first. */
  #addReportedMembers(members: readonly WireMember[]): void {
    for (const [host, address, port, availabilityZone, capacity] of members) {
      this.#add({ host, address, port, availabilityZone, capacity });
    }
  }

  /** False where it was known, or is this host. */
  #add(peer: PeerAddress): boolean {
    return peer.host !== this.parts.self.host && this.#peers.add(peer);
  }

  #tick(): void {
    this.parts.fleet.expire(this.parts.clock.monotonicMs());
    this.parts.quarantine.expire();
    for (const peer of this.#peers.all()) {
      if (this.#peers.isForgotten(peer)) {
        this.#removePeer(peer.host, 'silent');
        this.#reportGone(peer.host);
      } else if (!this.#peers.isAlive(peer)) this.parts.fleet.dropHost(peer.host);
    }
    this.#heartbeats.requestFromPeers();
    this.#announceNewcomers();
    for (const host of this.#departed.takePermanentlyGone()) this.#reportGone(host);
  }

  /** One of the first hosts says who is gone, unless it may itself be the one that is cut off. */
  #reportGone(host: string): void {
    const hearsFromMost = this.#peers.aliveCount * 2 >= this.#peers.size;
    if (this.#peers.isCoordinator() && hearsFromMost) this.parts.onGone(host);
  }

  /** One of the first hosts, which all others ask, tells all of those that have come. */
  #announceNewcomers(): void {
    const newcomers = [...this.#newcomers].flatMap((host) => this.#peers.find(host) ?? []);
    this.#newcomers.clear();
    if (newcomers.length === 0 || !this.#peers.isCoordinator()) return;
    const members = newcomers.map(({ host, address, port, availabilityZone, capacity }) => {
      const member: WireMember = [host, address, port, availabilityZone, capacity];
      return member;
    });
    this.#sendAll([...this.#peers.all()], { kind: 'members', ...this.#senderFields(), members });
  }

  #removePeer(host: string, why: 'left' | 'silent'): void {
    this.#peers.remove(host);
    this.parts.fleet.dropHost(host);
    this.parts.log.info('peer_forgotten', { peer: host, why });
  }

  #sendAll(peers: readonly Peer[], message: PeerMessage): void {
    for (const peer of peers) this.parts.sender.send(peer.address, peer.port, message);
  }

  #senderFields(): SenderFields {
    const { host, incarnation, port } = this.parts.self;
    return { host, incarnation, port };
  }
}
