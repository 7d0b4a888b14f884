import type { Milliseconds } from '@poppypond/core';
import type { QuarantineEntry } from '@poppypond/fleet';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { Peer } from './peer-list.js';
import type { Beat, ToldQuarantine, WireQuarantine } from './peer-messages.js';
import { fromWireQuarantine, toWireQuarantine } from './quarantine-on-the-wire.js';
import { ZoneSpread } from './zone-spread.js';

/** What the exchange needs. */
export interface QuarantineNewsParts extends ExchangeParts {
  readonly quarantine: SharedQuarantine;
}

/** Pause between messages: of sixteen entries, 2.3 KB, so 23 KB a second at the most. */
const TELL_PERIOD_MS: Milliseconds = 100;
const MOST_TOLD_AT_ONCE = 16;
/** What is not told at once for want of room goes with the heartbeats. */
const MOST_TO_TELL = 128;
/** Entries in a heartbeat, of 140 bytes each; none while no server ends under a request. */
const MOST_IN_BEAT = 8;

/**
 * Tells all hosts of requests under which servers ended. Heartbeats to and from the first hosts mend what is lost,
 * and tell hosts that have just started.
 */
export class QuarantineNews {
  readonly #spread: ZoneSpread<readonly QuarantineEntry[]>;
  readonly #toTell = new Set<string>();
  #toldAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #isPlanned = false;
  #turn = 0;

  constructor(readonly parts: QuarantineNewsParts) {
    this.#spread = new ZoneSpread(parts.peers, (peers, entries, passOn) => {
      this.#send(peers, entries, passOn);
    });
    parts.quarantine.onPlace(() => parts.peers.place);
    parts.quarantine.onChange((entry) => {
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
    return this.parts.quarantine.hear(told, host);
  }

  #tell(entries: readonly QuarantineEntry[]): void {
    for (const { content } of entries) {
      if (this.#toTell.size < MOST_TO_TELL) this.#toTell.add(content);
    }
    this.#tellSoon();
  }

  #tellSoon(): void {
    if (this.#isPlanned || this.#toTell.size === 0) return;
    const { clock } = this.parts;
    const waitMs = this.#toldAtMs + TELL_PERIOD_MS - clock.monotonicMs();
    if (waitMs <= 0) {
      this.#tellNow();
      return;
    }
    this.#isPlanned = true;
    clock.after(waitMs, () => {
      this.#isPlanned = false;
      this.#tellNow();
    });
  }

  #tellNow(): void {
    const { clock, quarantine } = this.parts;
    this.#toldAtMs = clock.monotonicMs();
    const contents = [...this.#toTell].slice(0, MOST_TOLD_AT_ONCE);
    for (const content of contents) this.#toTell.delete(content);
    const entries = contents.flatMap((content) => quarantine.find(content) ?? []);
    this.#spread.tell(entries);
    this.#tellSoon();
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
