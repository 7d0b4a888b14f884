import type { QuarantineEntry } from '@poppypond/fleet';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import { BatchedBroadcast } from './batched-broadcast.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { Peer } from './peer-list.js';
import type { Heartbeat, QuarantineMessage, WireQuarantineEntry } from './peer-messages.js';
import { fromWireQuarantine, toWireQuarantine } from './quarantine-wire-format.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `QuarantineExchange`. */
export interface QuarantineExchangeParts extends ExchangeParts {
  readonly quarantine: SharedQuarantine;
}

/**
 * Maximum number of entries in a heartbeat, of 140 bytes each; none while no request terminates a
 * server.
 */
const MAX_PER_HEARTBEAT = 8;

/**
 * Broadcasts which requests terminated servers. Heartbeats to and from the coordinators make up for
 * lost messages, and inform hosts that have just started.
 */
export class QuarantineExchange {
  readonly #broadcast: ZoneBroadcast<readonly QuarantineEntry[]>;
  readonly #batch: BatchedBroadcast<QuarantineEntry>;
  #rotation = 0;

  constructor(readonly parts: QuarantineExchangeParts) {
    const { clock, peers, quarantine } = parts;
    this.#broadcast = new ZoneBroadcast(peers, (to, entries, passOn) => {
      this.#send(to, entries, passOn);
    });
    const find = (content: string) => quarantine.find(content);
    this.#batch = new BatchedBroadcast({ clock, broadcast: this.#broadcast, find });
    quarantine.setRankSource(() => peers.place);
    quarantine.onChange((entry) => {
      this.#publish([entry]);
    });
  }

  /** Entries for one heartbeat. */
  forHeartbeat(): WireQuarantineEntry[] {
    this.#rotation += 1;
    const nowMs = this.parts.clock.monotonicMs();
    const entries = this.parts.quarantine.entriesFor(this.#rotation, MAX_PER_HEARTBEAT);
    return entries.map((entry) => toWireQuarantine(entry, nowMs));
  }

  /** Applies the entries in a heartbeat; a coordinator broadcasts those that are new to it. */
  onHeartbeat({ quarantine, host }: Heartbeat): void {
    const news = this.#mergeFromPeer(quarantine, host);
    if (this.parts.peers.isCoordinator()) this.#publish(news);
  }

  /**
   * Applies a message with entries. Forwards new ones if it asks for that; otherwise a coordinator
   * broadcasts them.
   */
  onMessage({ entries, host, passOn }: QuarantineMessage): void {
    const news = this.#mergeFromPeer(entries, host);
    if (news.length === 0) return;
    if (passOn) this.#broadcast.passOn(news);
    else if (this.parts.peers.isCoordinator()) this.#publish(news);
  }

  #mergeFromPeer(
    entries: readonly WireQuarantineEntry[],
    host: string,
  ): readonly QuarantineEntry[] {
    const nowMs = this.parts.clock.monotonicMs();
    const told = entries.map((entry) => fromWireQuarantine(entry, nowMs));
    return this.parts.quarantine.mergeFromPeer(told, host);
  }

  #publish(entries: readonly QuarantineEntry[]): void {
    this.#batch.publish(entries.map(({ content }) => content));
  }

  #send(peers: readonly Peer[], entries: readonly QuarantineEntry[], passOn: boolean): void {
    if (peers.length === 0 || entries.length === 0) return;
    const nowMs = this.parts.clock.monotonicMs();
    const wire = entries.map((entry) => toWireQuarantine(entry, nowMs));
    this.parts.send(peers, {
      kind: 'quarantine',
      ...this.parts.senderFields(),
      entries: wire,
      passOn,
    });
  }
}
