import type { Clock, Milliseconds } from '@poppypond/core';
import type { Heartbeat, PeerMessage } from './peer-messages.js';
import { rankPeers } from './peer-rank.js';

/** Address, availability zone and capacity of a host that runs a relay. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** CPU capacity, in cores of the reference speed. */
  readonly capacity: number;
}

/** Another host, and the state that it reported in its messages. */
export interface Peer extends PeerAddress {
  /** Incarnation of its process that was heard from last; undefined if it was never heard from. */
  readonly incarnation: string | undefined;
  /** When this incarnation was first heard from, on this process's clock. */
  readonly heardSinceMs: Milliseconds | undefined;
  /** When it was last heard from, on this process's clock. */
  readonly heardAtMs: Milliseconds | undefined;
  /** The `sentAtMs` of its last heartbeat, on its own clock. */
  readonly lastSentAtMs: Milliseconds | undefined;
  /**
   * Since when requests for a heartbeat are unanswered, on this process's clock; undefined if none
   * are.
   */
  readonly unansweredSinceMs: Milliseconds | undefined;
  /** Whether it reported that it has the configuration and the servers, which planning needs. */
  readonly canPlan: boolean;
  /** Whether it reported that it can't reach the store; true until it has reported otherwise. */
  readonly isStoreLost: boolean;
  /** Whether it reported that it has no room for new callers. */
  readonly isFull: boolean;
  /** When this host learned that the peer is full; undefined while it is not. */
  readonly fullSinceMs: Milliseconds | undefined;
}

/** A peer that sends nothing for this long is not alive, and its attempts no longer count. */
const SILENT_AFTER_MS: Milliseconds = 2500;
/**
 * Number of coordinators, and of hosts that read the store on behalf of all. With two of them, one
 * takes over at once when the other fails.
 */
const COORDINATORS = 2;
/**
 * Maximum number of live hosts that are queried while they can't reach the store. They are queried
 * because one of them may be the first to reach it again; the bound keeps an outage of the whole
 * store from making every host query every other.
 */
const MAX_QUERIED_IN_OUTAGE = 4;
/**
 * Maximum number of silent hosts that are queried in the first period, and by which the maximum
 * grows with each period without a live peer. Without this maximum, a host that starts while all
 * others are down would query all of them.
 */
const INITIAL_SILENT_QUERIES = 8;
/** Hosts that track the attempts of a service: one plans, the other is its standby. */
const PLANNERS_PER_SERVICE = 2;
/**
 * A host that has just started learns the attempts of others within one or two heartbeats; until
 * then it ranks last among the planners.
 */
const PLANNER_WARM_UP_MS: Milliseconds = 1200;
/**
 * A host that hears from nobody for this long after it was suspended counts as isolated; answers
 * arrive within 50 ms.
 */
const ISOLATED_AFTER_MS: Milliseconds = 500;
/**
 * A peer that does not answer requests for a heartbeat still counts in shared budgets for this
 * long.
 */
const FORGET_AFTER_MS: Milliseconds = 60_000;

/**
 * A host that learns that a store reader is full first asks the next in rank for heartbeats. Until
 * those are heard from, every host would take itself for their successor.
 */
const SUCCESSORS_HEARD_MS: Milliseconds = 2000;

const NEVER_HEARD = {
  incarnation: undefined,
  heardSinceMs: undefined,
  heardAtMs: undefined,
  lastSentAtMs: undefined,
  unansweredSinceMs: undefined,
  canPlan: false,
  isStoreLost: true,
  isFull: false,
  fullSinceMs: undefined,
} as const;

/** The peer state that a heartbeat reports. */
function reportedBy(beat: Heartbeat) {
  const { sentAtMs, isStoreLost, capacity, availabilityZone, canPlan, isFull = false } = beat;
  return { lastSentAtMs: sentAtMs, isStoreLost, capacity, availabilityZone, canPlan, isFull };
}

/** Whether a live host can read the store and has room for it. */
function isFitReader({ isStoreLost, isFull }: Peer): boolean {
  return !isStoreLost && !isFull;
}

/**
 * The other hosts that are listed in the store or were heard from, with their liveness and rank.
 */
export class PeerList {
  readonly #peers = new Map<string, Peer>();
  /** When this process started, or resumed after it was suspended. */
  #startedAtMs: Milliseconds;
  /** When it last resumed after it was suspended. */
  #pausedUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Maximum number of silent hosts that are queried in this period. */
  #maxSilentQueries = 0;
  /** Number of hosts that each peer reported to know, by host. */
  readonly #reportedMemberCounts = new Map<string, number>();
  /**
   * All hosts in rank order; undefined after a change of the known hosts, their capacity or their
   * zone.
   */
  #ranked: readonly PeerAddress[] | undefined;

  constructor(
    readonly clock: Clock,
    readonly self: PeerAddress,
    /** Whether this host has the configuration and the servers, which planning needs. */
    readonly canPlan: () => boolean,
    /** Whether this host is full, so that others had better read the store. */
    readonly isFull: () => boolean,
  ) {
    this.#startedAtMs = clock.monotonicMs();
  }

  /**
   * Called after this process was suspended: others may have taken over its roles, and it does not
   * know the attempts that they run now.
   */
  onPause(): void {
    this.#startedAtMs = this.clock.monotonicMs();
    this.#pausedUntilMs = this.#startedAtMs;
  }

  /** Number of peers that count in shared budgets, alive or not. */
  get size(): number {
    return this.#peers.size;
  }

  /** Peers heard from recently. */
  alive(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => this.isAlive(peer));
  }

  /** Number of peers heard from recently. */
  get aliveCount(): number {
    return this.alive().length;
  }

  /**
   * All peers, in the order in which they became known. Peers may be added and removed during
   * iteration.
   */
  all(): Iterable<Peer> {
    return this.#peers.values();
  }

  /** Returns undefined if `host` was neither listed nor heard from, or was removed. */
  find(host: string): Peer | undefined {
    return this.#peers.get(host);
  }

  /** Adds a listed host. Returns false if it was known already. */
  add(address: PeerAddress): boolean {
    if (this.#peers.has(address.host)) return false;
    this.#peers.set(address.host, { ...NEVER_HEARD, ...address });
    this.#ranked = undefined;
    return true;
  }

  /**
   * Records a message received from `address`. Returns true if it is the first of its incarnation.
   */
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
    const reported = message.kind === 'beat' ? { ...heard, ...reportedBy(message) } : heard;
    const fullSinceMs = reported.isFull ? (known.fullSinceMs ?? nowMs) : undefined;
    const next = { ...reported, fullSinceMs };
    this.#peers.set(host, next);
    const isRankKept =
      next.capacity === known.capacity && next.availabilityZone === known.availabilityZone;
    if (!listed || !isRankKept) this.#ranked = undefined;
    return isNew;
  }

  /** Records which peers are asked for a heartbeat now; none is expected from the others. */
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

  /** Removes `host`; does nothing if it is not known. */
  remove(host: string): void {
    this.#peers.delete(host);
    this.#reportedMemberCounts.delete(host);
    this.#ranked = undefined;
  }

  /** Whether the peer was heard from recently, so that its attempts count. */
  isAlive({ heardAtMs }: Peer): boolean {
    if (heardAtMs === undefined) return false;
    return this.clock.monotonicMs() - heardAtMs < SILENT_AFTER_MS;
  }

  /** Whether the peer has left requests unanswered for so long that it no longer counts at all. */
  isForgotten({ unansweredSinceMs }: Peer): boolean {
    if (unansweredSinceMs === undefined) return false;
    return this.clock.monotonicMs() - unansweredSinceMs > FORGET_AFTER_MS;
  }

  /** The largest number of hosts that this host or any of its peers knows, each itself included. */
  get memberCount(): number {
    return Math.max(this.size + 1, ...this.#reportedMemberCounts.values());
  }

  /** Records how many hosts `host` reports to know. */
  recordMemberCount(host: string, count: number): void {
    this.#reportedMemberCounts.set(host, count);
  }

  /**
   * Whether `host`, which must be able to reach the store, is one of the few that read it on behalf
   * of all. If many live hosts ranked before it can't reach the store, the store itself is down,
   * and those hosts retry it for all. Full hosts count like those that can't reach it: the next in
   * rank reads beside them.
   */
  isStoreReader(host: string): boolean {
    const before = this.#aliveRankedBefore(host);
    if (before.length >= MAX_QUERIED_IN_OUTAGE) return false;
    const readers = before.filter(({ isStoreLost, fullSinceMs }) => {
      return !isStoreLost && !this.#isLongFull(fullSinceMs);
    });
    return readers.length < COORDINATORS;
  }

  /**
   * Whether there are enough other hosts to read the store for all. Only the first few live hosts
   * read it, see `isStoreReader`: those ranked after them don't, even if all of these are full.
   */
  get hasOtherReaders(): boolean {
    const { host } = this.self;
    const live = this.#byRank().flatMap((ranked) => {
      const peer = this.#peers.get(ranked.host);
      return ranked.host === host || (peer && this.isAlive(peer)) ? [peer] : [];
    });
    const others = live.slice(0, MAX_QUERIED_IN_OUTAGE).filter((peer) => peer && isFitReader(peer));
    return others.length >= COORDINATORS;
  }

  /** Whether this host ranks among the first of all known hosts, alive or not. */
  isTopRanked(): boolean {
    return this.#byRank().slice(0, COORDINATORS).includes(this.self);
  }

  /** Whether this host is one of the few that read an unavailable store if all are alive. */
  get isRankedFirst(): boolean {
    return this.#byRank().slice(0, MAX_QUERIED_IN_OUTAGE).includes(this.self);
  }

  /** The highest-ranked live hosts except this one. */
  highestRankedPeers(): readonly Peer[] {
    const highest: Peer[] = [];
    for (const { host } of this.#byRank()) {
      const peer = this.#peers.get(host);
      if (peer && this.isAlive(peer)) highest.push(peer);
      if (highest.length === COORDINATORS) break;
    }
    return highest;
  }

  /** Rank of this host: the number of live hosts ranked before it. */
  get place(): number {
    return this.#aliveRankedBefore(this.self.host).length;
  }

  /**
   * Whether this host is a coordinator: one of the highest-ranked live hosts, whether or not it can
   * reach the store.
   */
  isCoordinator(): boolean {
    return this.place < COORDINATORS;
  }

  /**
   * Number of hosts that retry an unavailable store before this one: 0 for the few live hosts that
   * are queried in an outage; for others derived from the rank among all known hosts.
   */
  get turn(): number {
    const before = this.#aliveRankedBefore(this.self.host).length;
    if (before < MAX_QUERIED_IN_OUTAGE) return 0;
    const place = this.#byRank().findIndex(({ host }) => host === this.self.host);
    return Math.max(0, place - MAX_QUERIED_IN_OUTAGE + 1);
  }

  /**
   * For each availability zone except this host's own, the host that forwards messages within it:
   * the highest-ranked live one, or the highest-ranked one if none is alive.
   */
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

  /**
   * Whether this host is the highest-ranked known host of its availability zone, counting those not
   * alive.
   */
  isOwnZoneForwarder(): boolean {
    const { availabilityZone, host } = this.self;
    const forwarder = this.#byRank().find((peer) => peer.availabilityZone === availabilityZone);
    return forwarder?.host === host;
  }

  /** Known peers in this host's availability zone. */
  ownZonePeers(): readonly Peer[] {
    const { availabilityZone } = this.self;
    return [...this.#peers.values()].filter((peer) => peer.availabilityZone === availabilityZone);
  }

  /** Live peers ranked before `host`. */
  #aliveRankedBefore(host: string): readonly Peer[] {
    const before: Peer[] = [];
    for (const ranked of this.#byRank()) {
      if (ranked.host === host) break;
      const peer = this.#peers.get(ranked.host);
      if (peer && this.isAlive(peer)) before.push(peer);
    }
    return before;
  }

  /** Known peers that are not alive. One that has just restarted may know no other host. */
  silent(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => !this.isAlive(peer));
  }

  /**
   * Hosts that track the attempts on a service's engines, the one that plans first; may include
   * this host. `place`: index of the service among all planned services, so that each has its own
   * planners.
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
   * Peers from which this host needs heartbeats: the live store readers, the live planners of all
   * services, and all hosts ranked before those, as they may come back.
   */
  peersToQuery(services: number): ReadonlySet<string> {
    const queried = new Set<string>();
    if (this.size === 0) return queried;
    this.#maxSilentQueries =
      this.aliveCount > 0
        ? INITIAL_SILENT_QUERIES
        : this.#maxSilentQueries + INITIAL_SILENT_QUERIES;
    const isReader = (peer: PeerAddress) => this.#isPresent(peer) && this.#isFitReader(peer);
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

  /**
   * Whether this process knows peers, but has heard from none since it was suspended. False once it
   * counts as isolated.
   */
  #isStaleAfterPause(): boolean {
    const sinceMs = this.#pausedUntilMs;
    if (this.size === 0 || this.clock.monotonicMs() - sinceMs > ISOLATED_AFTER_MS) return false;
    return ![...this.#peers.values()].some(({ heardAtMs }) => (heardAtMs ?? -Infinity) > sinceMs);
  }

  /**
   * Whether a host has what planning needs, and has had the time to learn the attempts of others.
   */
  #isReadyToPlan({ host }: PeerAddress): boolean {
    const peer = this.#peers.get(host);
    const isSelf = host === this.self.host;
    const sinceMs = isSelf ? this.#startedAtMs : peer?.heardSinceMs;
    if (sinceMs === undefined || !(isSelf ? this.canPlan() : peer?.canPlan)) return false;
    return this.clock.monotonicMs() - sinceMs > PLANNER_WARM_UP_MS;
  }

  #isLongFull(sinceMs: Milliseconds | undefined): boolean {
    return sinceMs !== undefined && this.clock.monotonicMs() - sinceMs >= SUCCESSORS_HEARD_MS;
  }

  #isFitReader({ host }: PeerAddress): boolean {
    if (host === this.self.host) return !this.isFull();
    const peer = this.#peers.get(host);
    return peer === undefined || isFitReader(peer);
  }

  #byRank(): readonly PeerAddress[] {
    this.#ranked ??= rankPeers([...this.#peers.values(), this.self]);
    return this.#ranked;
  }

  /**
   * All hosts in rank order, rotated so that the planners of the service at index `place` come
   * first.
   */
  #rotatedTo(place: number): readonly PeerAddress[] {
    const ranked = this.#byRank();
    const from = (place * PLANNERS_PER_SERVICE) % ranked.length;
    return from === 0 ? ranked : [...ranked.slice(from), ...ranked.slice(0, from)];
  }
}
