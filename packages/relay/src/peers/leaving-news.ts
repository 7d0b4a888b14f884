import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireServer, toWireServer } from './list-on-the-wire.js';
import type { Peer } from './peer-list.js';
import type { ToldLeaving } from './peer-messages.js';
import { ZoneSpread } from './zone-spread.js';

/** What the exchange needs. */
export interface LeavingNewsParts extends ExchangeParts {
  readonly notices: ServerNotices;
}

interface LeavingTold {
  readonly server: BackendServer;
  readonly saidAtMs: Milliseconds;
}

/**
 * Tells all hosts of servers that have said that they leave, once for each life: planners choose them no more, and each
 * host is spared the request by which it would find out. Where word is lost, a host finds out so.
 */
export class LeavingNews {
  readonly #spread: ZoneSpread<LeavingTold>;

  constructor(readonly parts: LeavingNewsParts) {
    this.#spread = new ZoneSpread(parts.peers, (peers, told, passOn) => {
      this.#send(peers, told, passOn);
    });
    parts.notices.onLeaving((server, saidAtMs) => {
      this.#spread.tell({ server, saidAtMs });
    });
  }

  /** Takes in a message of a host; what is news here is told to others. */
  onTold({ server: wire, agoMs, host, passOn }: ToldLeaving): void {
    const { clock, notices, peers } = this.parts;
    const server = fromWireServer(wire);
    const saidAtMs = clock.monotonicMs() - agoMs;
    if (!notices.recordLeaving(server, saidAtMs, host)) return;
    if (passOn) this.#spread.passOn({ server, saidAtMs });
    else if (peers.isAmongFirst()) this.#spread.tell({ server, saidAtMs });
  }

  #send(peers: readonly Peer[], { server, saidAtMs }: LeavingTold, passOn: boolean): void {
    if (peers.length === 0) return;
    const { clock, send, selfFields } = this.parts;
    const agoMs = Math.max(0, Math.round(clock.monotonicMs() - saidAtMs));
    send(peers, { kind: 'leaving', ...selfFields(), server: toWireServer(server), agoMs, passOn });
  }
}
