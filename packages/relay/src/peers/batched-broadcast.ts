import type { Clock, Milliseconds } from '@poppypond/core';
import type { ZoneBroadcast } from './zone-broadcast.js';

/** What batched news needs. */
export interface BatchedBroadcastParts<Entry> {
  readonly clock: Clock;
  readonly broadcast: ZoneBroadcast<readonly Entry[]>;
  /** What holds of a subject as it is told; undefined where nothing does any more. */
  readonly find: (subject: string) => Entry | undefined;
}

/** Pause between messages: of sixteen entries, 2.3 KB, so 23 KB a second at the most. */
const MIN_SEND_INTERVAL_MS: Milliseconds = 100;
const MAX_BATCH_SIZE = 16;
/** What is not told at once for want of room goes with the heartbeats. */
const MAX_QUEUED = 128;

/** Tells all hosts of subjects that change, each as it is when its turn has come, in a bounded number of messages. */
export class BatchedBroadcast<Entry> {
  readonly #queued = new Set<string>();
  #sentAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #isScheduled = false;

  constructor(readonly parts: BatchedBroadcastParts<Entry>) {}

  /** These subjects have changed. */
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
