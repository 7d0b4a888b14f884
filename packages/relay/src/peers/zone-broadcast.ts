import type { Peer, PeerList } from './peer-list.js';

/**
 * Sends a message to each of `peers`. `passOn`: whether they have to forward it within their
 * availability zone.
 */
export type BroadcastSender<Message> = (
  peers: readonly Peer[],
  news: Message,
  passOn: boolean,
) => void;

/**
 * Broadcasts messages to all hosts without any host sending to all others. A host sends to the two
 * coordinators; these send to one host of each availability zone, which forwards the message within
 * its zone. Any message may be lost; what must arrive also reaches hosts by other means.
 */
export class ZoneBroadcast<Message> {
  constructor(
    readonly peers: PeerList,
    readonly send: BroadcastSender<Message>,
  ) {}

  /**
   * Broadcasts a message of this host. The highest-ranked host of a zone is never asked to forward
   * its own message, so it sends the message within its zone at once.
   */
  publish(news: Message): void {
    const { peers } = this;
    const isCoordinator = peers.isCoordinator();
    if (isCoordinator) this.send(peers.otherZoneForwarders(), news, true);
    else this.send(peers.highestRankedPeers(), news, false);
    if (isCoordinator || peers.isOwnZoneForwarder()) this.send(peers.ownZonePeers(), news, false);
  }

  /** Forwards a message within this host's availability zone, as its sender has asked. */
  passOn(news: Message): void {
    this.send(this.peers.ownZonePeers(), news, false);
  }
}
