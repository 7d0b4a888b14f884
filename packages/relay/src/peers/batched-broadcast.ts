import type { Clock, Milliseconds } from '@poppypond/core';
import type { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `BatchedBroadcast`. */
export interface BatchedBroadcastParts<Entry> {
  readonly clock: Clock;
  readonly broadcast: ZoneBroadcast<readonly Entry[]>;
  /** The entry of a subject at the time of sending; undefined if there is none any more. */
  readonly find: (subject: string) => Entry | undefined;
}

/** Minimum interval between messages, of 16 entries or 2.3 KB each: at most 23 KB per second. */
const MIN_SEND_INTERVAL_MS: Milliseconds = 100;
const MAX_BATCH_SIZE = 16;
/** Subjects beyond this number are not queued; heartbeats carry their entries. */
const MAX_QUEUED = 128;

/**
 * Broadcasts the entries of changed subjects, as they are at the time of sending, in a bounded
 * number of messages.
 */
export class BatchedBroadcast<Entry> {
  readonly #queued = new Set<string>();
  #sentAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #isScheduled = false;

  constructor(readonly parts: BatchedBroadcastParts<Entry>) {}

  /** Queues subjects that have changed. */
  publish(subjects: Iterable<string>): void {
    for (const subject of subjects) {
      if (this.#queued.size < MAX_QUEUED) this.#queued.add(subject);
    }
    this.#scheduleSend();
  }

  #scheduleSend(): void {
    if (this.#isScheduled || this.#queued.size === 0) return;
    const { clock } = this.parts;
    const waitMs = this.#sentAtMs + MIN_SEND_INTERVAL_MS - clock.monotonicMs();
    if (waitMs <= 0) {
      this.#sendBatch();
      return;
    }
    this.#isScheduled = true;
    clock.after(waitMs, () => {
      this.#isScheduled = false;
      this.#sendBatch();
    });
  }

  #sendBatch(): void {
    const { clock, find, broadcast } = this.parts;
    this.#sentAtMs = clock.monotonicMs();
    const subjects = [...this.#queued].slice(0, MAX_BATCH_SIZE);
    for (const subject of subjects) this.#queued.delete(subject);
    broadcast.publish(subjects.flatMap((subject) => find(subject) ?? []));
    this.#scheduleSend();
  }
}
