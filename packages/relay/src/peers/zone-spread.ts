import type { Peer, PeerList } from './peer-list.js';

/** Sends news to each of `peers`; `passOn`: whether they pass it on within their availability zone. */
export type NewsSender<News> = (peers: readonly Peer[], news: News, passOn: boolean) => void;

/**
 * Spreads news to all hosts, never from all to all. A host tells the first two of all, which tell one host of each
 * availability zone, which passes it on there. Any message may be lost; what must arrive is mended otherwise.
 */
export class ZoneSpread<News> {
  constructor(
    readonly peers: PeerList,
    readonly send: NewsSender<News>,
  ) {}

  /** This host has news. The first of a zone is not told its own news to pass on, so it does so at once. */
  tell(news: News): void {
    const { peers } = this;
    const isAmongFirst = peers.isAmongFirst();
    if (isAmongFirst) this.send(peers.firstOfOtherZones(), news, true);
    else this.send(peers.firstOfAll(), news, false);
    if (isAmongFirst || peers.isFirstOfOwnZone()) this.send(peers.inOwnZone(), news, false);
  }

  /** This host was told what is news to it, and to pass it on. */
  passOn(news: News): void {
    this.send(this.peers.inOwnZone(), news, false);
  }
}
