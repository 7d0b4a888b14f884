import type { Clock, Milliseconds } from '@poppypond/core';
import type { PeerMessage } from './peer-messages.js';

/** Another host that runs a relay. */
export interface PeerAddress {
  readonly host: string;
  readonly address: string;
  readonly port: number;
}

/** Another host, and what its messages said of itself. */
export interface Peer extends PeerAddress {
  /** The life of its process that was heard last; undefined while never heard. */
  readonly incarnation: string | undefined;
  /** When it was last heard, on this process's clock. */
  readonly heardAtMs: Milliseconds | undefined;
  /** The `sentAtMs` of its last beat, on its own clock. */
  readonly lastSentAtMs: Milliseconds | undefined;
  /** When it was first listed or heard, on this process's clock. */
  readonly knownSinceMs: Milliseconds;
  /** Whether it said that its way to the store is broken; true until it has said otherwise. */
  readonly isStoreLost: boolean;
}

/** More peers than this are many. */
const FEW_PEERS = 12;
/** Without a word for this long, what a peer runs no longer counts. */
const SILENT_AFTER_MS: Milliseconds = 2000;
/** The same with many peers, which send fewer heartbeats. */
const SILENT_AFTER_SELDOM_MS: Milliseconds = 5000;
/** Hosts that read the store for all; a second one stands in at once when the first is gone. */
const READERS = 2;
/** A silent peer still counts for shared budgets for this long. */
const FORGET_AFTER_MS: Milliseconds = 60_000;

/** The other hosts that were listed or heard, and which of them are there. */
export class PeerList {
  readonly #peers = new Map<string, Peer>();

  constructor(readonly clock: Clock) {}

  get size(): number {
    return this.#peers.size;
  }

  /** Whether there are so many that most heartbeats are spared. */
  get isLarge(): boolean {
    return this.#peers.size > FEW_PEERS;
  }

  /** Peers heard from lately. */
  get aliveCount(): number {
    return [...this.#peers.values()].filter((peer) => this.isAlive(peer)).length;
  }

  /** In the order in which they became known; peers may be added and removed meanwhile. */
  all(): Iterable<Peer> {
    return this.#peers.values();
  }

  find(host: string): Peer | undefined {
    return this.#peers.get(host);
  }

  /** Adds a host that is listed; false where it was known. */
  add({ host, address, port }: PeerAddress): boolean {
    if (this.#peers.has(host)) return false;
    const knownSinceMs = this.clock.monotonicMs();
    const never = { incarnation: undefined, heardAtMs: undefined, lastSentAtMs: undefined };
    this.#peers.set(host, { host, address, port, knownSinceMs, isStoreLost: true, ...never });
    return true;
  }

  /** Notes a message that came from `address`; true where it is the first of its process. */
  hear(message: PeerMessage, address: string): boolean {
    const { host, incarnation, port } = message;
    const known = this.#peers.get(host);
    const nowMs = this.clock.monotonicMs();
    const isNew = known?.incarnation !== incarnation;
    const lastSentAtMs = isNew ? undefined : known.lastSentAtMs;
    const isStoreLost = known?.isStoreLost ?? true;
    const isBeat = message.kind === 'beat';
    this.#peers.set(host, {
      host,
      address,
      port,
      incarnation,
      heardAtMs: nowMs,
      lastSentAtMs: isBeat ? message.sentAtMs : lastSentAtMs,
      knownSinceMs: known?.knownSinceMs ?? nowMs,
      isStoreLost: isBeat ? message.isStoreLost : isStoreLost,
    });
    return isNew;
  }

  remove(host: string): void {
    this.#peers.delete(host);
  }

  /** Whether it was heard lately, so that what it runs counts. */
  isAlive({ heardAtMs }: Peer): boolean {
    if (heardAtMs === undefined) return false;
    const silentAfterMs = this.isLarge ? SILENT_AFTER_SELDOM_MS : SILENT_AFTER_MS;
    return this.clock.monotonicMs() - heardAtMs < silentAfterMs;
  }

  /** Whether it was silent for so long that it counts for nothing. */
  isForgotten({ heardAtMs, knownSinceMs }: Peer): boolean {
    return this.clock.monotonicMs() - (heardAtMs ?? knownSinceMs) > FORGET_AFTER_MS;
  }

  /** The first by name of those that have a sound way to the store. */
  firstReaders(): readonly Peer[] {
    return [...this.#storePeers()]
      .sort((left, right) => (left.host < right.host ? -1 : 1))
      .slice(0, READERS);
  }

  /** Whether `host`, which has a sound way to the store, is one of the few that read it for all. */
  isAmongReaders(host: string): boolean {
    return this.#storePeers().filter((peer) => peer.host < host).length < READERS;
  }

  /** Peers that have a sound way to the store, as far as they have told. */
  #storePeers(): readonly Peer[] {
    return [...this.#peers.values()].filter((peer) => this.isAlive(peer) && !peer.isStoreLost);
  }
}
