import type { Clock, Milliseconds } from '@poppypond/core';
import type { ZoneSpread } from './zone-spread.js';

/** What batched news needs. */
export interface BatchedSpreadParts<Entry> {
  readonly clock: Clock;
  readonly spread: ZoneSpread<readonly Entry[]>;
  /** What holds of a subject as it is told; undefined where nothing does any more. */
  readonly find: (subject: string) => Entry | undefined;
}

/** Pause between messages: of sixteen entries, 2.3 KB, so 23 KB a second at the most. */
const TELL_PERIOD_MS: Milliseconds = 100;
const MOST_TOLD_AT_ONCE = 16;
/** What is not told at once for want of room goes with the heartbeats. */
const MOST_TO_TELL = 128;

/** Tells all hosts of subjects that change, each as it is when its turn has come, in a bounded number of messages. */
export class BatchedSpread<Entry> {
  readonly #toTell = new Set<string>();
  #toldAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #isPlanned = false;

  constructor(readonly parts: BatchedSpreadParts<Entry>) {}

  /** These subjects have changed. */
  tell(subjects: Iterable<string>): void {
    for (const subject of subjects) {
      if (this.#toTell.size < MOST_TO_TELL) this.#toTell.add(subject);
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
    const { clock, find, spread } = this.parts;
    this.#toldAtMs = clock.monotonicMs();
    const subjects = [...this.#toTell].slice(0, MOST_TOLD_AT_ONCE);
    for (const subject of subjects) this.#toTell.delete(subject);
    spread.tell(subjects.flatMap((subject) => find(subject) ?? []));
    this.#tellSoon();
  }
}
