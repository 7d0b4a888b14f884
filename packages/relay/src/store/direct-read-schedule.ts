import type { Clock, Milliseconds } from '@poppypond/core';
import { reasonToRead } from './direct-read.js';
import type { DirectReadInputs, DirectReadReason } from './direct-read.js';
import type { StoreTurns } from './store-turns.js';

/** Maximum interval at which a host checks whether it has to read the store. */
const MAX_CHECK_PERIOD_MS: Milliseconds = 250;
const MIN_CHECK_PERIOD_MS: Milliseconds = 20;

/** What a watch knows about its part of the store's data. */
export type WatchState = Pick<
  DirectReadInputs,
  'isKnown' | 'behindForMs' | 'confirmedAgeMs' | 'maxAgeMs'
>;

/** Decides when a watch reads the store itself, and how long it pauses while it relies on peers. */
export class DirectReadSchedule {
  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    readonly clock: Clock,
    readonly turns: StoreTurns,
    readonly watchState: () => WatchState,
  ) {}

  /** Why the store has to be read now; undefined if it does not. */
  get reason(): DirectReadReason | undefined {
    const sinceDirectReadMs = this.clock.monotonicMs() - this.#lastReadAtMs;
    return reasonToRead({
      ...this.turns.now(),
      ...this.watchState(),
      sinceDirectReadMs,
    });
  }

  /** Records that the store is read now, and returns the time. */
  recordRead(): Milliseconds {
    this.#lastReadAtMs = this.clock.monotonicMs();
    return this.#lastReadAtMs;
  }

  /**
   * Pause before the next check. A host without data checks often. A host whose data is unconfirmed
   * for too long but whose turn has not come checks only as often as turns pass, so that an outage
   * does not keep all hosts busy.
   */
  get pauseMs(): Milliseconds {
    const { isKnown, maxAgeMs, confirmedAgeMs } = this.watchState();
    if (!isKnown) return MIN_CHECK_PERIOD_MS;
    const leftMs = maxAgeMs - confirmedAgeMs;
    return leftMs > 0
      ? Math.max(MIN_CHECK_PERIOD_MS, Math.min(MAX_CHECK_PERIOD_MS, leftMs))
      : MAX_CHECK_PERIOD_MS;
  }
}
