import type { Clock, Milliseconds } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Beat, PeerMessage } from './peer-messages.js';

/** Another host that runs a relay. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
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
  readonly askedSinceMs: Milliseconds | undefined;
  /** Whether it said that it knows what planning takes. */
  readonly canPlan: boolean;
  /** Whether it said that its way to the store is broken; true until it has said otherwise. */
  readonly isStoreLost: boolean;
}

/** Without a word for this long, what a peer runs no longer counts. */
const SILENT_AFTER_MS: Milliseconds = 2000;
/** Hosts that read the store for all; a second one stands in at once when the first is gone. */
const READERS = 2;
/**
 * Hosts that are there but have lost the store are asked too, as one may be the first to have it
 * back; no more than these, so that an outage of the whole store does not make all ask all.
 */
const MOST_ASKED_IN_OUTAGE = 8;
/** Hosts that know the attempts of a service: one plans, the other stands in. */
const PLANNERS = 2;
/** A host that has just started learns within a heartbeat what others run; until then it plans last. */
const SETTLED_AFTER_MS: Milliseconds = 1200;
/** A peer that is asked and stays silent still counts for shared budgets for this long. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

const NEVER_HEARD = {
  incarnation: undefined,
  heardSinceMs: undefined,
  heardAtMs: undefined,
  lastSentAtMs: undefined,
  askedSinceMs: undefined,
  canPlan: false,
  isStoreLost: true,
} as const;

/** What a heartbeat says of its sender. */
function saidBy({ sentAtMs, isStoreLost, capacity, canPlan }: Beat) {
  return { lastSentAtMs: sentAtMs, isStoreLost, capacity, canPlan };
}

/** The other hosts that were listed or heard, and which of them are there. */
export class PeerList {
  readonly #peers = new Map<string, Peer>();
  readonly #startedAtMs: Milliseconds;
  /** By service; empty after each change of who is there and how large. */
  readonly #ranks = new Map<string, readonly PeerAddress[]>();

  constructor(
    readonly clock: Clock,
    readonly self: PeerAddress,
    /** Whether this host knows what planning takes. */
    readonly canPlan: () => boolean,
  ) {
    this.#startedAtMs = clock.monotonicMs();
  }

  /** Peers that count for shared budgets, alive or not. */
  get size(): number {
    return this.#peers.size;
  }

  /** Peers heard from lately. */
  get aliveCount(): number {
    return [...this.#peers.values()].filter((peer) => this.isAlive(peer)).length;
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
    this.#ranks.clear();
    return true;
  }

  /** Notes a message that came from `address`; true where it is the first of its process. */
  hear(message: PeerMessage, address: string): boolean {
    const { host, incarnation, port } = message;
    const nowMs = this.clock.monotonicMs();
    const known = this.#peers.get(host) ?? { ...NEVER_HEARD, host, address, port, capacity: 0 };
    const isNew = known.incarnation !== incarnation;
    const heard = {
      ...known,
      address,
      port,
      incarnation,
      heardSinceMs: isNew ? nowMs : known.heardSinceMs,
      heardAtMs: nowMs,
      lastSentAtMs: isNew ? undefined : known.lastSentAtMs,
      askedSinceMs: undefined,
    };
    const next = message.kind === 'beat' ? { ...heard, ...saidBy(message) } : heard;
    this.#peers.set(host, next);
    if (isNew || next.capacity !== known.capacity) this.#ranks.clear();
    return isNew;
  }

  /** Notes which peers are asked for heartbeats now; the others owe none. */
  noteAsked(hosts: ReadonlySet<string>): void {
    const nowMs = this.clock.monotonicMs();
    for (const peer of this.#peers.values()) {
      const askedSinceMs = hosts.has(peer.host) ? (peer.askedSinceMs ?? nowMs) : undefined;
      if (askedSinceMs !== peer.askedSinceMs) this.#peers.set(peer.host, { ...peer, askedSinceMs });
    }
  }

  /** Forgets `host`; nothing where it is not known. */
  remove(host: string): void {
    this.#peers.delete(host);
    this.#ranks.clear();
  }

  /** Whether it was heard lately, so that what it runs counts. */
  isAlive({ heardAtMs }: Peer): boolean {
    if (heardAtMs === undefined) return false;
    return this.clock.monotonicMs() - heardAtMs < SILENT_AFTER_MS;
  }

  /** Whether it was asked and silent for so long that it counts for nothing. */
  isForgotten({ askedSinceMs }: Peer): boolean {
    if (askedSinceMs === undefined) return false;
    return this.clock.monotonicMs() - askedSinceMs > FORGET_AFTER_MS;
  }

  /** Whether `host`, which has a sound way to the store, is one of the few that read it for all. */
  isAmongReaders(host: string): boolean {
    return this.#countBefore(host, ({ isStoreLost }) => !isStoreLost) < READERS;
  }

  /** Whether this host is one of the first by name that are there, whatever they know of the store. */
  isAmongFirst(): boolean {
    return this.#countBefore(this.self.host, () => true) < READERS;
  }

  /** Peers that are there, come before `host` by name, and count. */
  #countBefore(host: string, counts: (peer: Peer) => boolean): number {
    const before = [...this.#peers.values()].filter(
      (peer) => peer.host < host && this.isAlive(peer) && counts(peer),
    );
    return before.length;
  }

  /** Known hosts that are silent; one that has started anew may know nobody. */
  silent(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => !this.isAlive(peer));
  }

  /** Hosts that know what runs on a service's engines, the one that plans first; maybe this one. */
  plannersOf(service: string): readonly string[] {
    const settled: string[] = [];
    const others: string[] = [];
    for (const peer of this.#byRank(service)) {
      if (!this.#isHere(peer)) continue;
      if (this.#isSettled(peer)) settled.push(peer.host);
      else others.push(peer.host);
      if (settled.length >= PLANNERS) break;
    }
    return [...settled, ...others].slice(0, PLANNERS);
  }

  /**
   * Peers that this host has to hear of: the first readers and planners of each service that are
   * there, and all those before them, as they may come back.
   */
  toAsk(services: readonly string[]): ReadonlySet<string> {
    const asked = new Set<string>();
    const isReader = (peer: PeerAddress) => this.#isHere(peer) && !this.#isStoreLost(peer);
    this.#askUntil(this.#byName(), READERS, isReader, asked);
    for (const service of services) {
      const isPlanner = (peer: PeerAddress) => this.#isHere(peer) && this.#isSettled(peer);
      this.#askUntil(this.#byRank(service), PLANNERS, isPlanner, asked);
    }
    asked.delete(this.self.host);
    return asked;
  }

  #askUntil(
    ranked: readonly PeerAddress[],
    wanted: number,
    counts: (peer: PeerAddress) => boolean,
    asked: Set<string>,
  ): void {
    let found = 0;
    let here = 0;
    for (const peer of ranked) {
      if (found >= wanted || here >= MOST_ASKED_IN_OUTAGE) return;
      asked.add(peer.host);
      if (counts(peer)) found += 1;
      if (this.#isHere(peer)) here += 1;
    }
  }

  #isHere({ host }: PeerAddress): boolean {
    const peer = this.#peers.get(host);
    return host === this.self.host || (peer !== undefined && this.isAlive(peer));
  }

  /** Whether a host knows what planning takes, and what others run. */
  #isSettled({ host }: PeerAddress): boolean {
    const peer = this.#peers.get(host);
    const isSelf = host === this.self.host;
    const sinceMs = isSelf ? this.#startedAtMs : peer?.heardSinceMs;
    if (sinceMs === undefined || !(isSelf ? this.canPlan() : peer?.canPlan)) return false;
    return this.clock.monotonicMs() - sinceMs > SETTLED_AFTER_MS;
  }

  #isStoreLost({ host }: PeerAddress): boolean {
    return this.#peers.get(host)?.isStoreLost ?? false;
  }

  #byName(): readonly PeerAddress[] {
    return [...this.#peers.values(), this.self].sort((left, right) =>
      left.host < right.host ? -1 : 1,
    );
  }

  /** All hosts, large ones first, in an order of its own for each service. */
  #byRank(service: string): readonly PeerAddress[] {
    const known = this.#ranks.get(service);
    if (known) return known;
    const hosts = rendezvousOrder(
      service,
      [...this.#peers.values(), this.self],
      ({ host }) => host,
    );
    const ranked = [...hosts].sort((left, right) => right.capacity - left.capacity);
    this.#ranks.set(service, ranked);
    return ranked;
  }
}
