import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type {
  AttemptResult,
  AttemptUse,
  BackendServer,
  FleetView,
  KnownHosts,
  LimitPart,
  ServerLimits,
} from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { PlannerPeers } from '../planning/placement-client.js';
import type { PlanAnswer, PlanRequest } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import type { PartQuarantine } from '../quarantine/part-quarantine.js';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { ColdNotices } from '../notices/cold-notices.js';
import type { ServerNotices } from '../notices/server-notices.js';
import { AttemptExchange } from './attempt-exchange.js';
import type { Evacuations } from '../store/evacuations.js';
import type { ExchangeParts } from './exchange-parts.js';
import { HeartbeatExchange } from './heartbeat-exchange.js';
import { DepartedHosts } from './departed-hosts.js';
import { createNoticeExchanges } from './notice-exchanges.js';
import type { NoticeExchanges } from './notice-exchanges.js';
import { MessageDispatcher } from './message-dispatcher.js';
import { ResultExchange } from './result-exchange.js';
import { StoreStateExchange } from './store-state-exchange.js';
import { PeerClocks } from './peer-clocks.js';
import { PeerList } from './peer-list.js';
import type { Peer, PeerAddress } from './peer-list.js';
import type { PeerMessage, WireMember } from './peer-messages.js';
import type { SpeedNotices } from '../notices/speed-notices.js';
import type { SenderFields } from './sender-fields.js';
import type { StoreSyncState } from './store-sync-state.js';
import { ReaderHandover } from './reader-handover.js';
import { WithdrawalExchange } from './withdrawal-exchange.js';

/** Sends one message to a peer. Delivery is not guaranteed. */
export interface PeerSender {
  send(address: string, port: number, message: PeerMessage): void;
}

/** Dependencies of `PeerMesh`. */
export interface PeerMeshParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly sender: PeerSender;
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  /** Names of the engine services, for which this host may be a planner or request plans. */
  readonly engineServices: () => readonly string[];
  /** Called with each answer of a planner. */
  readonly onPlan: (attemptId: string, answer: PlanAnswer, planner: string) => void;
  readonly syncState: StoreSyncState;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly notices: ServerNotices;
  readonly limits: ServerLimits;
  readonly evacuations: Evacuations;
  readonly coldNotices: ColdNotices;
  readonly speedNotices: SpeedNotices;
  /** Whether this host has no room for new callers; it then plans only if no other can. */
  readonly isFull: () => boolean;
  /** Interval between heartbeats. */
  readonly heartbeatPeriodMs: Milliseconds;
  /** Called on a coordinator when another host is considered permanently gone. */
  readonly onGone: (host: string) => void;
}

/**
 * Shares of a server's rate limit that are granted besides the share of the first planner: by a
 * standby planner if the first planner is silent, and by all hosts together that reach no planner.
 * The first planner may still be granting its whole share, so the total can reach 1.5 times the
 * limit.
 */
const STANDBY_SHARE = 0.3;
const FALLBACK_SHARE = 0.2;

/**
 * Exchanges messages with the few hosts that read the store and plan for all, and acts as one of
 * them if its rank is high enough. Messages may be lost: each heartbeat carries the sender's whole
 * state, so that a loss is repaired within one heartbeat period.
 */
export class PeerMesh implements PlannerPeers {
  readonly #peers: PeerList;
  readonly #storeState: StoreStateExchange;
  readonly #exchanges: NoticeExchanges;
  readonly #resultExchange: ResultExchange;
  readonly #withdrawals: WithdrawalExchange;
  readonly #attempts: AttemptExchange;
  readonly #heartbeats: HeartbeatExchange;
  readonly #dispatcher: MessageDispatcher;
  /**
   * Hosts heard from for the first time or at a new address; announced to others with the next
   * heartbeats.
   */
  readonly #newcomers = new Set<string>();
  readonly #departed: DepartedHosts;
  #cancel: CancelTimer = () => undefined;
  readonly #handover: ReaderHandover;
  #isStopped = false;
  #areMembersKnown = false;

  constructor(readonly parts: PeerMeshParts) {
    this.#peers = new PeerList(
      parts.clock,
      parts.self,
      () => parts.planner.canPlan && !parts.isFull(),
      parts.isFull,
    );
    this.#handover = new ReaderHandover(parts.clock, parts.isFull);
    this.#departed = new DepartedHosts(parts.clock);
    const { clock, log, self, fleet, planner, syncState, engineServices } = parts;
    const exchangeParts = {
      clock,
      peers: this.#peers,
      send: (peers: readonly Peer[], message: PeerMessage) => {
        this.#sendAll(peers, message);
      },
      senderFields: () => this.#senderFields(),
    };
    const clocks = new PeerClocks();
    this.#exchanges = createNoticeExchanges(exchangeParts, parts, clocks);
    const onApplied = (host: string) => {
      this.#heartbeats.requestConfirmation(host);
    };
    const onListSent = (peer: Peer) => {
      this.#exchanges.coldExchange.sendAll(peer);
    };
    this.#storeState = new StoreStateExchange({
      ...exchangeParts,
      log,
      syncState,
      onApplied,
      onListSent,
    });
    const planningParts = { fleet, planner, syncState, ...this.#exchanges };
    this.#withdrawals = new WithdrawalExchange({ ...exchangeParts, self, isFull: parts.isFull });
    this.#attempts = new AttemptExchange({
      ...exchangeParts,
      ...planningParts,
      host: self.host,
      engineServices,
    });
    this.#resultExchange = this.#makeResultExchange(exchangeParts);
    this.#heartbeats = new HeartbeatExchange({
      ...exchangeParts,
      ...planningParts,
      self,
      clocks,
      resultExchange: this.#resultExchange,
      withdrawals: this.#withdrawals,
      engineServiceCount: () => engineServices().length,
      isPlanner: (host) => this.#attempts.isPlanner(host),
      servicesWithStandby: (host) => this.#attempts.servicesWithStandby(host),
    });
    this.#dispatcher = new MessageDispatcher({
      ...exchangeParts,
      ...planningParts,
      heartbeats: this.#heartbeats,
      news: this.#storeState,
      attempts: this.#attempts,
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

  #makeResultExchange(exchangeParts: ExchangeParts): ResultExchange {
    const { fleet } = this.parts;
    const broadcast = (server: string, service: string, forMs: Milliseconds) => {
      this.#attempts.broadcastSuspicion(server, service, forMs, true);
    };
    return new ResultExchange({ ...exchangeParts, fleet, broadcast });
  }

  /** Whether this host is one of the few that read the store on behalf of all. */
  isReader(): boolean {
    const { host } = this.parts.self;
    // Asked on each call, as it notices only then that the host has room.
    const isHandedOver = this.#handover.isOver;
    if (this.parts.syncState.isStoreLost) return false;
    if (isHandedOver && this.#peers.hasOtherReaders) return false;
    return this.#peers.isStoreReader(host);
  }

  /** Number of hosts that retry an unavailable store before this one; 0 for the first few. */
  get turn(): number {
    return this.#peers.turn;
  }

  /**
   * Whether this host is full and may tell the load balancer so. Never the case for more than a
   * quarter of the hosts of a zone at once.
   */
  get isWithdrawn(): boolean {
    return this.#withdrawals.isWithdrawn;
  }

  /** Bytes that are held of incomplete messages. */
  get heldBytes(): number {
    return this.#storeState.heldBytes;
  }

  /** Whether this host is one of the first in rank of all known hosts, alive or not. */
  get isRankedFirst(): boolean {
    return this.#peers.isRankedFirst;
  }

  /** Sends the configuration and the server list, as far as they are new, to all known hosts. */
  publishStoreState(): void {
    this.#storeState.publish();
  }

  /** Broadcasts the evacuated zones, which this host has read from the store. */
  publishEvacuations(): void {
    this.#exchanges.evacuationExchange.publish();
  }

  /** Starts sending heartbeats. */
  start(): void {
    this.#heartbeats.requestFromPeers();
    this.#cancel = this.parts.clock.every(this.parts.heartbeatPeriodMs, () => {
      this.#tick();
    });
  }

  /**
   * Adds the hosts that the store lists as members, and requests heartbeats from those that this
   * host depends on. A top-ranked host sends one to every added host, as hosts that started before
   * it may take others for the coordinators.
   */
  addMembers(known: readonly PeerAddress[]): void {
    this.#areMembersKnown = true;
    const added = known.filter((peer) => this.#add(peer));
    this.#heartbeats.requestFromPeers();
    if (!this.#peers.isTopRanked()) return;
    for (const { host } of added) this.#heartbeats.send(host, true);
  }

  /**
   * Called after this process was suspended. Requests the current state from peers at once; this
   * host plans for nobody until it has heard from one of them.
   */
  onPause(): void {
    this.#peers.onPause();
    this.#handover.onPause();
    this.#heartbeats.requestFromPeers();
  }

  /**
   * Notifies all live peers that this host leaves. Sends no heartbeats and handles no messages
   * afterwards.
   */
  stop(): void {
    if (this.#isStopped) return;
    this.#cancel();
    this.#isStopped = true;
    this.#sendAll(this.#peers.alive(), { kind: 'leave', ...this.#senderFields() });
  }

  /**
   * Number of hosts that share budgets, this one included; infinite until the member list is known.
   */
  get hostCount(): number {
    return this.#areMembersKnown ? this.#peers.memberCount : Number.POSITIVE_INFINITY;
  }

  /**
   * The share of the rate limits of a service's servers that this host may grant. The first planner
   * in rank grants the fraction of the listed hosts that it hears from, so that the sides of a
   * network partition, which each have a first planner, keep to the limit together. `isFallback`:
   * this host reaches no planner and plans by itself.
   */
  limitPart(service: string, isFallback: boolean): LimitPart {
    const hosts = this.hostCount;
    const heardShare = (this.#peers.aliveCount + 1) / hosts;
    if (isFallback) return { role: 'alone', share: FALLBACK_SHARE / hosts, heardShare };
    const isFirst = this.plannersOf(service)[0] === this.parts.self.host;
    if (isFirst) return { role: 'first', share: heardShare, heardShare };
    return { role: 'stand_in', share: STANDBY_SHARE * heardShare, heardShare };
  }

  /** The hosts that share budgets, as far as this one knows them; none until members are known. */
  knownHosts(): KnownHosts {
    const { hostCount } = this;
    if (!this.#areMembersKnown) return { hosts: [], hostCount };
    const others = [...this.#peers.all()].map(({ host }) => host);
    return { hosts: [this.parts.self.host, ...others].sort(), hostCount };
  }

  /** All other known hosts, alive or not. */
  members(): readonly PeerAddress[] {
    return [...this.#peers.all()];
  }

  /** Number of peers heard from recently. */
  get aliveCount(): number {
    return this.#peers.aliveCount;
  }

  /** Hosts that plan for a service, in rank order; may include this host. */
  plannersOf(service: string): readonly string[] {
    return this.#attempts.plannersOf(service);
  }

  /**
   * Sends a plan request to `planner`. Its answers are passed to `onPlan`, unless they are lost.
   */
  askPlan(planner: string, request: PlanRequest): void {
    this.#attempts.askPlan(planner, request);
  }

  /** Notifies `planner` that an attempt will not run according to its plan. */
  withdrawPlan(planner: string, attemptId: string): void {
    this.#attempts.withdrawPlan(planner, attemptId);
  }

  /**
   * Records that an attempt starts, and notifies the planners of `service`; none if it is
   * undefined.
   */
  begin(use: AttemptUse, service: string | undefined): void {
    this.#attempts.begin(use, service);
  }

  /**
   * Records the first event of an attempt. `service` is undefined if planners need not be notified.
   */
  onPrefillDone(attemptId: string, service: string | undefined): void {
    this.#attempts.onPrefillDone(attemptId, service);
  }

  /**
   * Records that an attempt has ended or will not start. `isServed`: whether its server served it
   * completely.
   */
  end(attemptId: string, service: string | undefined, isServed?: boolean): void {
    this.#attempts.end(attemptId, service, isServed);
  }

  /**
   * Records the result of an attempt at a plain server. Makes all hosts avoid the server if it has a
   * high failure rate now; returns for how long, undefined if that is no news.
   */
  recordResult(result: AttemptResult): Milliseconds | undefined {
    return this.#resultExchange.record(result);
  }

  /**
   * Makes all hosts that select among the servers of `service` avoid a failed one. Returns for how
   * long from now.
   */
  suspect(server: string, service: string): Milliseconds {
    return this.#attempts.suspect(server, service);
  }

  /** Makes all hosts that select among the servers of its service exclude a server that is gone. */
  broadcastServerGone(server: BackendServer): void {
    this.#attempts.broadcastServerGone(server);
  }

  /** Handles one message; `address` is the network address of its sender. */
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
    // The first message of a peer may be of any kind; only heartbeats carry the format's version.
    const format = message.kind === 'beat' ? { format: message.formatVersion } : {};
    this.parts.log.info('peer_heard', { peer: host, address, incarnation, ...format });
    // A heartbeat carries the sender's whole state, and is answered if it requests an answer.
    if (message.kind !== 'beat') this.#heartbeats.send(host, true);
  }

  /** Adds hosts that a peer has reported. What a host reports of itself takes precedence. */
  #addReportedMembers(members: readonly WireMember[]): void {
    for (const [host, address, port, availabilityZone, capacity] of members) {
      this.#add({ host, address, port, availabilityZone, capacity });
    }
  }

  /** Returns false if the host was known already or is this one. */
  #add(peer: PeerAddress): boolean {
    return peer.host !== this.parts.self.host && this.#peers.add(peer);
  }

  #tick(): void {
    this.#withdrawals.tick();
    this.parts.fleet.expire(this.parts.clock.monotonicMs());
    this.parts.quarantine.expire();
    this.parts.partQuarantine.expire();
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

  /**
   * Coordinators report hosts that are gone. One that hears from fewer than half of its peers
   * reports none, as it may itself be cut off by a network partition.
   */
  #reportGone(host: string): void {
    const hearsFromMost = this.#peers.aliveCount * 2 >= this.#peers.size;
    if (this.#peers.isCoordinator() && hearsFromMost) this.parts.onGone(host);
  }

  /**
   * Coordinators, from which all others request heartbeats, announce new hosts to every known host.
   */
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
