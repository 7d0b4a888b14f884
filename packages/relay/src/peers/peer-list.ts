import type { Clock, Milliseconds } from '@poppypond/core';
import type { Heartbeat, PeerMessage } from './peer-messages.js';
import { rankPeers } from './peer-rank.js';

/** Another host that runs a relay. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Processor that it has, in cores of the usual speed. */
  readonly capacity: number;
}

/** Another host, and what its messages said of itself. */
export interface Peer extends PeerAddress {
  /** The life of its process that was heard last; undefined while never heard. */
  readonly incarnation: string | undefined;
  /** When this life of it was first heard, on this process's clock. */
  readonly heardSinceMs: Milliseconds | undefined;
  /** When it was last heard, on this process's clock. */
  readonly heardAtMs: Milliseconds | undefined;
  /** The `sentAtMs` of its last beat, on its own clock. */
  readonly lastSentAtMs: Milliseconds | undefined;
  /** Since when it was asked for a heartbeat without an answer, on this process's clock. */
  readonly unansweredSinceMs: Milliseconds | undefined;
  /** Whether it said that it knows what planning takes. */
  readonly canPlan: boolean;
  /** Whether it said that its way to the store is broken; true until it has said otherwise. */
  readonly isStoreLost: boolean;
}

/** Without a word for this long, what a peer runs no longer counts. */
const SILENT_AFTER_MS: Milliseconds = 2500;
/** Hosts that read the store for all; a second one stands in at once when the first is gone. */
const COORDINATORS = 2;
/**
 * Hosts that are there but have lost the store are asked too, as one may be the first to have it
 * back; no more than these, so that an outage of the whole store does not make all ask all.
 */
const MAX_QUERIED_IN_OUTAGE = 4;
/**
 * Silent hosts that are asked at first, and as many more after each period in which too few
 * answered: a host that has started after the loss of all would else ask all others.
 */
const INITIAL_SILENT_QUERIES = 8;
/** Hosts that know the attempts of a service: one plans, the other stands in. */
const PLANNERS_PER_SERVICE = 2;
/** A host that has just started learns within a heartbeat or two what others run; until then it plans last. */
const PLANNER_WARM_UP_MS: Milliseconds = 1200;
/** A host that stood still and hears nobody for this long is taken to be alone; answers come within 50 ms. */
const ISOLATED_AFTER_MS: Milliseconds = 500;
/** A peer that is asked and stays silent still counts for shared budgets for this long. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

const NEVER_HEARD = {
  incarnation: undefined,
  heardSinceMs: undefined,
  heardAtMs: undefined,
  lastSentAtMs: undefined,
  unansweredSinceMs: undefined,
  canPlan: false,
  isStoreLost: true,
} as const;

/** What a heartbeat says of its sender. */
function reportedBy({ sentAtMs, isStoreLost, capacity, availabilityZone, canPlan }: Heartbeat) {
  return { lastSentAtMs: sentAtMs, isStoreLost, capacity, availabilityZone, canPlan };
}

/** The other hosts that were listed or heard, and which of them are there. */
export class PeerList {
  readonly #peers = new Map<string, Peer>();
  /** When this process started, or went on after it had stood still. */
  #startedAtMs: Milliseconds;
  /** When it last went on after it had stood still. */
  #pausedUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Silent hosts that are asked in this period. */
  #maxSilentQueries = 0;
  /** How many hosts each peer has told that it knows. */
  readonly #reportedMemberCounts = new Map<string, number>();
  /** All hosts in their order; undefined after each change of who is known, how large and where. */
  #ranked: readonly PeerAddress[] | undefined;

  constructor(
    readonly clock: Clock,
    readonly self: PeerAddress,
    /** Whether this host knows what planning takes. */
    readonly canPlan: () => boolean,
  ) {
    this.#startedAtMs = clock.monotonicMs();
  }

  /** This process stood still: others may have taken over from it, and what they run now it does not know. */
  onPause(): void {
    this.#startedAtMs = this.clock.monotonicMs();
    this.#pausedUntilMs = this.#startedAtMs;
  }

  /** Peers that count for shared budgets, alive or not. */
  get size(): number {
    return this.#peers.size;
  }

  /** Peers heard from lately. */
  alive(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => this.isAlive(peer));
  }

  /** How many were heard from lately. */
  get aliveCount(): number {
    return this.alive().length;
  }

  /** In the order in which they became known; peers may be added and removed meanwhile. */
  all(): Iterable<Peer> {
    return this.#peers.values();
  }

  /** What is known of `host`; undefined where it was neither listed nor heard, or is removed. */
  find(host: string): Peer | undefined {
    return this.#peers.get(host);
  }

  /** Adds a host that is listed; false where it was known. */
  add(address: PeerAddress): boolean {
    if (this.#peers.has(address.host)) return false;
    this.#peers.set(address.host, { ...NEVER_HEARD, ...address });
    this.#ranked = undefined;
    return true;
  }

  /** Notes a message that came from `address`; true where it is the first of its process. */
  recordMessage(message: PeerMessage, address: string): boolean {
    const { host, incarnation, port } = message;
    const nowMs = this.clock.monotonicMs();
    const listed = this.#peers.get(host);
    const unknown = { ...NEVER_HEARD, host, address, port, availabilityZone: '', capacity: 0 };
    const known = listed ?? unknown;
    const isNew = known.incarnation !== incarnation;
    const heard = {
      ...known,
      address,
      port,
      incarnation,
      heardSinceMs: isNew ? nowMs : known.heardSinceMs,
      heardAtMs: nowMs,
      lastSentAtMs: isNew ? undefined : known.lastSentAtMs,
      unansweredSinceMs: undefined,
    };
    const next = message.kind === 'beat' ? { ...heard, ...reportedBy(message) } : heard;
    this.#peers.set(host, next);
    const isRankKept =
      next.capacity === known.capacity && next.availabilityZone === known.availabilityZone;
    if (!listed || !isRankKept) this.#ranked = undefined;
    return isNew;
  }

  /** Notes which peers are asked for heartbeats now; the others owe none. */
  recordQueried(hosts: ReadonlySet<string>): void {
    const nowMs = this.clock.monotonicMs();
    for (const peer of this.#peers.values()) {
      const unansweredSinceMs = hosts.has(peer.host)
        ? (peer.unansweredSinceMs ?? nowMs)
        : undefined;
      if (unansweredSinceMs !== peer.unansweredSinceMs)
        this.#peers.set(peer.host, { ...peer, unansweredSinceMs });
    }
  }

  /** Forgets `host`; nothing where it is not known. */
  remove(host: string): void {
    this.#peers.delete(host);
    this.#reportedMemberCounts.delete(host);
    this.#ranked = undefined;
  }

  /** Whether it was heard lately, so that what it runs counts. */
  isAlive({ heardAtMs }: Peer): boolean {
    if (heardAtMs === undefined) return false;
    return this.clock.monotonicMs() - heardAtMs < SILENT_AFTER_MS;
  }

  /** Whether it was asked and silent for so long that it counts for nothing. */
  isForgotten({ unansweredSinceMs }: Peer): boolean {
    if (unansweredSinceMs === undefined) return false;
    return this.clock.monotonicMs() - unansweredSinceMs > FORGET_AFTER_MS;
  }

  /** How many hosts a peer has told of lately, or are known here if that is more. */
  get memberCount(): number {
    return Math.max(this.size + 1, ...this.#reportedMemberCounts.values());
  }

  /** Notes how many hosts `host` knows. */
  recordMemberCount(host: string, count: number): void {
    this.#reportedMemberCounts.set(host, count);
  }

  /**
   * Whether `host`, which has a sound way to the store, is one of the few that read it for all. Where
   * many that come before it have lost the store, the store itself is away, and those try again for all.
   */
  isStoreReader(host: string): boolean {
    const before = this.#aliveRankedBefore(host);
    if (before.length >= MAX_QUERIED_IN_OUTAGE) return false;
    return before.filter(({ isStoreLost }) => !isStoreLost).length < COORDINATORS;
  }

  /** Whether this host is one of the first of all that are known, there or not. */
  isTopRanked(): boolean {
    return this.#byRank().slice(0, COORDINATORS).includes(this.self);
  }

  /** The first hosts that are there, this one left out. */
  highestRankedPeers(): readonly Peer[] {
    const highest: Peer[] = [];
    for (const { host } of this.#byRank()) {
      const peer = this.#peers.get(host);
      if (peer && this.isAlive(peer)) highest.push(peer);
      if (highest.length === COORDINATORS) break;
    }
    return highest;
  }

  /** How many hosts that are there come before this one. */
  get place(): number {
    return this.#aliveRankedBefore(this.self.host).length;
  }

  /** Whether this host is one of the first that are there, whatever they know of the store. */
  isCoordinator(): boolean {
    return this.place < COORDINATORS;
  }

  /**
   * How many hosts that are there come before this one, of the few that are asked in an outage;
   * beyond those its place among all that are known.
   */
  get turn(): number {
    const before = this.#aliveRankedBefore(this.self.host).length;
    if (before < MAX_QUERIED_IN_OUTAGE) return 0;
    const place = this.#byRank().findIndex(({ host }) => host === this.self.host);
    return Math.max(0, place - MAX_QUERIED_IN_OUTAGE + 1);
  }

  /** The first host of each availability zone that is there, this host's own zone left out. */
  otherZoneForwarders(): readonly Peer[] {
    const forwarders = new Map<string, Peer>();
    for (const { host } of this.#byRank()) {
      const peer = this.#peers.get(host);
      if (!peer || peer.availabilityZone === this.self.availabilityZone) continue;
      const known = forwarders.get(peer.availabilityZone);
      if (!known || (!this.isAlive(known) && this.isAlive(peer)))
        forwarders.set(peer.availabilityZone, peer);
    }
    return [...forwarders.values()];
  }

  /** Whether this host is the first of its availability zone, of all that are known, there or not. */
  isOwnZoneForwarder(): boolean {
    const { availabilityZone, host } = this.self;
    const forwarder = this.#byRank().find((peer) => peer.availabilityZone === availabilityZone);
    return forwarder?.host === host;
  }

  /** Known hosts of this host's availability zone, itself left out. */
  ownZonePeers(): readonly Peer[] {
    const { availabilityZone } = this.self;
    return [...this.#peers.values()].filter((peer) => peer.availabilityZone === availabilityZone);
  }

  /** Peers that are there and come before `host`. */
  #aliveRankedBefore(host: string): readonly Peer[] {
    const before: Peer[] = [];
    for (const ranked of this.#byRank()) {
      if (ranked.host === host) break;
      const peer = this.#peers.get(ranked.host);
      if (peer && this.isAlive(peer)) before.push(peer);
    }
    return before;
  }

  /** Known hosts that are silent; one that has started anew may know nobody. */
  silent(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => !this.isAlive(peer));
  }

  /**
   * Hosts that know what runs on a service's engines, the one that plans first; maybe this one.
   * `place`: of the service among all that are planned for, so that each has planners of its own.
   */
  plannersOf(place: number): readonly string[] {
    const ready: string[] = [];
    const others: string[] = [];
    for (const peer of this.#rotatedTo(place)) {
      if (!this.#isPresent(peer)) continue;
      if (this.#isReadyToPlan(peer)) ready.push(peer.host);
      else others.push(peer.host);
      if (ready.length >= PLANNERS_PER_SERVICE) break;
    }
    return [...ready, ...others].slice(0, PLANNERS_PER_SERVICE);
  }

  /**
   * Peers that this host has to hear of: the first readers and planners of all services that are
   * there, and all those before them, as they may come back.
   */
  peersToQuery(services: number): ReadonlySet<string> {
    const queried = new Set<string>();
    if (this.size === 0) return queried;
    this.#maxSilentQueries =
      this.aliveCount > 0
        ? INITIAL_SILENT_QUERIES
        : this.#maxSilentQueries + INITIAL_SILENT_QUERIES;
    const isReader = (peer: PeerAddress) => this.#isPresent(peer) && !this.#isStoreLost(peer);
    this.#queryUntil(this.#byRank(), COORDINATORS, isReader, queried);
    for (let place = 0; place < services; place += 1) {
      const isPlanner = (peer: PeerAddress) => this.#isPresent(peer) && this.#isReadyToPlan(peer);
      this.#queryUntil(this.#rotatedTo(place), PLANNERS_PER_SERVICE, isPlanner, queried);
    }
    queried.delete(this.self.host);
    return queried;
  }

  #queryUntil(
    ranked: readonly PeerAddress[],
    wanted: number,
    qualifies: (peer: PeerAddress) => boolean,
    queried: Set<string>,
  ): void {
    let found = 0;
    let present = 0;
    let silent = 0;
    for (const peer of ranked) {
      if (found >= wanted || present >= MAX_QUERIED_IN_OUTAGE || silent >= this.#maxSilentQueries)
        return;
      queried.add(peer.host);
      if (qualifies(peer)) found += 1;
      if (this.#isPresent(peer)) present += 1;
      else silent += 1;
    }
  }

  #isPresent({ host }: PeerAddress): boolean {
    if (host === this.self.host) return !this.#isStaleAfterPause();
    const peer = this.#peers.get(host);
    return peer !== undefined && this.isAlive(peer);
  }

  /** Whether this process stood still, and has heard nobody since though others are known. */
  #isStaleAfterPause(): boolean {
    const sinceMs = this.#pausedUntilMs;
    if (this.size === 0 || this.clock.monotonicMs() - sinceMs > ISOLATED_AFTER_MS) return false;
    return ![...this.#peers.values()].some(({ heardAtMs }) => (heardAtMs ?? -Infinity) > sinceMs);
  }

  /** Whether a host knows what planning takes, and what others run. */
  #isReadyToPlan({ host }: PeerAddress): boolean {
    const peer = this.#peers.get(host);
    const isSelf = host === this.self.host;
    const sinceMs = isSelf ? this.#startedAtMs : peer?.heardSinceMs;
    if (sinceMs === undefined || !(isSelf ? this.canPlan() : peer?.canPlan)) return false;
    return this.clock.monotonicMs() - sinceMs > PLANNER_WARM_UP_MS;
  }

  #isStoreLost({ host }: PeerAddress): boolean {
    return this.#peers.get(host)?.isStoreLost ?? false;
  }

  #byRank(): readonly PeerAddress[] {
    this.#ranked ??= rankPeers([...this.#peers.values(), this.self]);
    return this.#ranked;
  }

  /** All hosts, from those on that plan for the service at `place`; the first ones come last. */
  #rotatedTo(place: number): readonly PeerAddress[] {
    const ranked = this.#byRank();
    const from = (place * PLANNERS_PER_SERVICE) % ranked.length;
    return from === 0 ? ranked : [...ranked.slice(from), ...ranked.slice(0, from)];
  }
}
