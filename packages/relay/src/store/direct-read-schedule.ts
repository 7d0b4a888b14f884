import type { Clock, Milliseconds } from '@poppypond/core';
import { reasonToRead } from './direct-read.js';
import type { DirectReadInputs, DirectReadReason } from './direct-read.js';
import type { StoreTurns } from './store-turns.js';

/** The longest pause before a host looks whether it has to read for all. */
const MAX_CHECK_PERIOD_MS: Milliseconds = 250;
const MIN_CHECK_PERIOD_MS: Milliseconds = 20;

/** What a watch knows of the part of the store that it follows. */
export type WatchState = Pick<
  DirectReadInputs,
  'isKnown' | 'behindForMs' | 'confirmedAgeMs' | 'maxAgeMs'
>;

/** When a watch asks the store itself, and how long it pauses while it goes by the word of others. */
export class DirectReadSchedule {
  #lastReadAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    readonly clock: Clock,
    readonly turns: StoreTurns,
    readonly watchState: () => WatchState,
  ) {}

  /** Why the store is to be asked now; undefined where it is not. */
  get reason(): DirectReadReason | undefined {
    const sinceDirectReadMs = this.clock.monotonicMs() - this.#lastReadAtMs;
    return reasonToRead({
      ...this.turns.now(),
      ...this.watchState(),
      sinceDirectReadMs,
    });
  }

  /** Notes that the store is asked now; when that is. */
  recordRead(): Milliseconds {
    this.#lastReadAtMs = this.clock.monotonicMs();
    return this.#lastReadAtMs;
  }

  /**
   * The pause before the next look. A host that knows nothing yet looks often; one whose word is old
   * while it is not its turn looks no oftener than turns pass, so that an outage does not keep all
   * hosts awake.
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
