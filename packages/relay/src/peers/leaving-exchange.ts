import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireServer, toWireServer } from './server-wire-format.js';
import type { Peer } from './peer-list.js';
import type { ServerLeavingMessage } from './peer-messages.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** What the exchange needs. */
export interface LeavingExchangeParts extends ExchangeParts {
  readonly notices: ServerNotices;
}

interface LeavingAnnouncement {
  readonly server: BackendServer;
  readonly announcedAtMs: Milliseconds;
}

/**
 * Tells all hosts of servers that have said that they leave, once for each life: planners choose them no more, and each
 * host is spared the request by which it would find out. Where word is lost, a host finds out so.
 */
export class LeavingExchange {
  readonly #broadcast: ZoneBroadcast<LeavingAnnouncement>;

  constructor(readonly parts: LeavingExchangeParts) {
    this.#broadcast = new ZoneBroadcast(parts.peers, (peers, told, passOn) => {
      this.#send(peers, told, passOn);
    });
    parts.notices.onLeaving((server, announcedAtMs) => {
      this.#broadcast.publish({ server, announcedAtMs });
    });
  }

  /** Takes in a message of a host; what is news here is told to others. */
  onMessage({ server: wire, agoMs, host, passOn }: ServerLeavingMessage): void {
    const { clock, notices, peers } = this.parts;
    const server = fromWireServer(wire);
    const announcedAtMs = clock.monotonicMs() - agoMs;
    if (!notices.recordLeaving(server, announcedAtMs, host)) return;
    if (passOn) this.#broadcast.passOn({ server, announcedAtMs });
    else if (peers.isCoordinator()) this.#broadcast.publish({ server, announcedAtMs });
  }

  #send(
    peers: readonly Peer[],
    { server, announcedAtMs }: LeavingAnnouncement,
    passOn: boolean,
  ): void {
    if (peers.length === 0) return;
    const { clock, send, senderFields } = this.parts;
    const agoMs = Math.max(0, Math.round(clock.monotonicMs() - announcedAtMs));
    send(peers, {
      kind: 'leaving',
      ...senderFields(),
      server: toWireServer(server),
      agoMs,
      passOn,
    });
  }
}
