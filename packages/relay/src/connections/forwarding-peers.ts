import type { Clock, Milliseconds } from '@poppypond/core';
import type { PeerAddress } from '../peers/peer-list.js';

/** Dependencies of `ForwardingPeers`. */
export interface ForwardingPeersParts {
  readonly clock: Clock;
  readonly availabilityZone: string;
  /** Region of each availability zone. */
  readonly regions: ReadonlyMap<string, string>;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * How a peer answered when it was asked to forward a connection. `slow`: not yet, so that another
 * was asked too. `unavailable`: it did not try.
 */
export type PeerAnswer = 'usable' | 'slow' | 'unavailable';

interface KnownPeer {
  readonly answer: PeerAnswer;
  readonly untilMs: Milliseconds;
}

/** How long a peer that forwarded a connection is preferred. */
const USABLE_MS: Milliseconds = 10_000;
/** How long others are preferred to a peer that did not. */
const UNUSABLE_MS: Milliseconds = 2000;
/** Below this number of usable peers others are tried beside them, so that the load is spread. */
const MIN_USABLE = 3;
/** Share of the connections for which another peer is tried while too few are known as usable. */
const EXPLORED_SHARE = 0.2;

/** Chooses the peers that forward connections to servers that this host does not reach. */
export class ForwardingPeers {
  readonly #known = new Map<string, KnownPeer>();
  #members: () => readonly PeerAddress[] = () => [];

  constructor(readonly parts: ForwardingPeersParts) {}

  /** Sets where the other hosts are listed. */
  setMembers(members: () => readonly PeerAddress[]): void {
    this.#members = members;
  }

  /** Whether any other host is known. */
  get isAnyKnown(): boolean {
    return this.#members().length > 0;
  }

  /** Returns a peer whose name is not in `tried`; undefined if none is left. */
  choose(tried: ReadonlySet<string>): PeerAddress | undefined {
    const { availabilityZone, random } = this.parts;
    const untried = this.#nearby().filter(({ host }) => !tried.has(host));
    const answered = (answer: PeerAnswer | undefined) =>
      untried.filter(({ host }) => this.#find(host)?.answer === answer);
    const usable = answered('usable');
    const unknown = answered(undefined);
    const isExploring =
      usable.length < MIN_USABLE && unknown.length > 0 && random() < EXPLORED_SHARE;
    if (usable.length > 0 && !isExploring) return this.#pick(usable);
    // The peers of a zone may share the fault, so they are tried in turn with those of other zones.
    const isOwnZoneNext = tried.size % 2 === 0;
    const preferred = unknown.filter(
      (peer) => (peer.availabilityZone === availabilityZone) === isOwnZoneNext,
    );
    // All may be slow at once under load, so none is left out.
    const inOrder = [preferred, unknown, answered('slow'), answered('unavailable')];
    return this.#pick(inOrder.find((peers) => peers.length > 0) ?? []);
  }

  /** Records how a peer answered. */
  record(host: string, answer: PeerAnswer): void {
    const forMs = answer === 'usable' ? USABLE_MS : UNUSABLE_MS;
    this.#known.set(host, { answer, untilMs: this.parts.clock.monotonicMs() + forMs });
  }

  /** Hosts of the same region, or all others if there are none. */
  #nearby(): readonly PeerAddress[] {
    const { availabilityZone, regions } = this.parts;
    const members = this.#members();
    const region = regions.get(availabilityZone);
    const near = members.filter((peer) => regions.get(peer.availabilityZone) === region);
    return near.length > 0 ? near : members;
  }

  #find(host: string): KnownPeer | undefined {
    const known = this.#known.get(host);
    if (known && this.parts.clock.monotonicMs() < known.untilMs) return known;
    this.#known.delete(host);
    return undefined;
  }

  #pick(peers: readonly PeerAddress[]): PeerAddress | undefined {
    return peers[Math.floor(this.parts.random() * peers.length)];
  }
}
