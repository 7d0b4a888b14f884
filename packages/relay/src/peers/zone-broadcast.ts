import type { Peer, PeerList } from './peer-list.js';

/** Sends news to each of `peers`; `passOn`: whether they pass it on within their availability zone. */
export type BroadcastSender<Message> = (
  peers: readonly Peer[],
  news: Message,
  passOn: boolean,
) => void;

/**
 * Spreads news to all hosts, never from all to all. A host tells the first two of all, which tell one host of each
 * availability zone, which passes it on there. Any message may be lost; what must arrive is mended otherwise.
 */
export class ZoneBroadcast<Message> {
  constructor(
    readonly peers: PeerList,
    readonly send: BroadcastSender<Message>,
  ) {}

  /** This host has news. The first of a zone is not told its own news to pass on, so it does so at once. */
  publish(news: Message): void {
    const { peers } = this;
    const isCoordinator = peers.isCoordinator();
    if (isCoordinator) this.send(peers.otherZoneForwarders(), news, true);
    else this.send(peers.highestRankedPeers(), news, false);
    if (isCoordinator || peers.isOwnZoneForwarder()) this.send(peers.ownZonePeers(), news, false);
  }

  /** This host was told what is news to it, and to pass it on. */
  passOn(news: Message): void {
    this.send(this.peers.ownZonePeers(), news, false);
  }
}
