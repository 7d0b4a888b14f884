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

/** What is known of a peer that was asked to forward a connection. */
interface KnownPeer {
  readonly isUsable: boolean;
  readonly untilMs: Milliseconds;
}

/** How long a peer that forwarded a connection is preferred. */
const USABLE_MS: Milliseconds = 10_000;
/** How long a peer that did not is left out. */
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
    const usable = untried.filter(({ host }) => this.#find(host)?.isUsable === true);
    const unknown = untried.filter(({ host }) => this.#find(host) === undefined);
    const isExploring =
      usable.length < MIN_USABLE && unknown.length > 0 && random() < EXPLORED_SHARE;
    if (usable.length > 0 && !isExploring) return this.#pick(usable);
    // The peers of a zone may share the fault, so they are tried in turn with those of other zones.
    const isOwnZoneNext = tried.size % 2 === 0;
    const preferred = unknown.filter(
      (peer) => (peer.availabilityZone === availabilityZone) === isOwnZoneNext,
    );
    return this.#pick(preferred.length > 0 ? preferred : unknown);
  }

  /** Records whether a peer has forwarded a connection. */
  record(host: string, isUsable: boolean): void {
    const forMs = isUsable ? USABLE_MS : UNUSABLE_MS;
    this.#known.set(host, { isUsable, untilMs: this.parts.clock.monotonicMs() + forMs });
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
