import type { QuarantineEntry } from '@poppypond/fleet';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import { BatchedSpread } from './batched-spread.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { Peer } from './peer-list.js';
import type { Beat, ToldQuarantine, WireQuarantine } from './peer-messages.js';
import { fromWireQuarantine, toWireQuarantine } from './quarantine-on-the-wire.js';
import { ZoneSpread } from './zone-spread.js';

/** What the exchange needs. */
export interface QuarantineNewsParts extends ExchangeParts {
  readonly quarantine: SharedQuarantine;
}

/** Entries in a heartbeat, of 140 bytes each; none while no server ends under a request. */
const MOST_IN_BEAT = 8;

/**
 * Tells all hosts of requests under which servers ended. Heartbeats to and from the first hosts mend what is lost,
 * and tell hosts that have just started.
 */
export class QuarantineNews {
  readonly #spread: ZoneSpread<readonly QuarantineEntry[]>;
  readonly #batch: BatchedSpread<QuarantineEntry>;
  #turn = 0;

  constructor(readonly parts: QuarantineNewsParts) {
    const { clock, peers, quarantine } = parts;
    this.#spread = new ZoneSpread(peers, (to, entries, passOn) => {
      this.#send(to, entries, passOn);
    });
    const find = (content: string) => quarantine.find(content);
    this.#batch = new BatchedSpread({ clock, spread: this.#spread, find });
    quarantine.setRankSource(() => peers.place);
    quarantine.onChange((entry) => {
      this.#tell([entry]);
    });
  }

  /** Entries for one heartbeat. */
  forBeat(): WireQuarantine[] {
    this.#turn += 1;
    const nowMs = this.parts.clock.monotonicMs();
    const entries = this.parts.quarantine.entriesFor(this.#turn, MOST_IN_BEAT);
    return entries.map((entry) => toWireQuarantine(entry, nowMs));
  }

  /** Takes in what a heartbeat tells; one of the first hosts tells all others what is news to it. */
  onBeat({ quarantine, host }: Beat): void {
    const news = this.#hear(quarantine, host);
    if (this.parts.peers.isAmongFirst()) this.#tell(news);
  }

  /** Takes in a message of a host. */
  onTold({ entries, host, passOn }: ToldQuarantine): void {
    const news = this.#hear(entries, host);
    if (news.length === 0) return;
    if (passOn) this.#spread.passOn(news);
    else if (this.parts.peers.isAmongFirst()) this.#tell(news);
  }

  #hear(entries: readonly WireQuarantine[], host: string): readonly QuarantineEntry[] {
    const nowMs = this.parts.clock.monotonicMs();
    const told = entries.map((entry) => fromWireQuarantine(entry, nowMs));
    return this.parts.quarantine.mergeFromPeer(told, host);
  }

  #tell(entries: readonly QuarantineEntry[]): void {
    this.#batch.tell(entries.map(({ content }) => content));
  }

  #send(peers: readonly Peer[], entries: readonly QuarantineEntry[], passOn: boolean): void {
    if (peers.length === 0 || entries.length === 0) return;
    const nowMs = this.parts.clock.monotonicMs();
    const wire = entries.map((entry) => toWireQuarantine(entry, nowMs));
    this.parts.send(peers, {
      kind: 'quarantine',
      ...this.parts.selfFields(),
      entries: wire,
      passOn,
    });
  }
}
