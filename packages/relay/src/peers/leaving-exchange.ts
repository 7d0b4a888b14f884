import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireServer, toWireServer } from './server-wire-format.js';
import type { Peer } from './peer-list.js';
import type { ServerLeavingMessage } from './peer-messages.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `LeavingExchange`. */
export interface LeavingExchangeParts extends ExchangeParts {
  readonly notices: ServerNotices;
}

interface LeavingAnnouncement {
  readonly server: BackendServer;
  readonly announcedAtMs: Milliseconds;
}

/**
 * Broadcasts which servers have announced that they leave, once per incarnation: planners no longer
 * select them, and other hosts need not find out from the answer to a request. A host that misses
 * the message finds out in that way.
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

  /** Applies a message about a leaving server; if that is new here, forwards or broadcasts it. */
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
