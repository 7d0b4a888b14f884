import type { Clock, Milliseconds } from '@poppypond/core';
import { reasonToRead } from './own-read.js';
import type { OwnReadInputs, OwnReadReason } from './own-read.js';
import type { StoreTurns } from './store-turns.js';

/** The longest pause before a host looks whether it has to read for all. */
const LOOK_AGAIN_MS: Milliseconds = 250;
const SHORTEST_PAUSE_MS: Milliseconds = 20;

/** What a watch knows of the part of the store that it follows. */
export type WatchKnowledge = Pick<
  OwnReadInputs,
  'isKnown' | 'behindForMs' | 'wordAgeMs' | 'oldAfterMs'
>;

/** When a watch asks the store itself, and how long it pauses while it goes by the word of others. */
export class OwnReads {
  #readAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    readonly clock: Clock,
    readonly turns: StoreTurns,
    readonly knowledge: () => WatchKnowledge,
  ) {}

  /** Why the store is to be asked now; undefined where it is not. */
  get reason(): OwnReadReason | undefined {
    const sinceOwnReadMs = this.clock.monotonicMs() - this.#readAtMs;
    return reasonToRead({ ...this.turns.now(), ...this.knowledge(), sinceOwnReadMs });
  }

  /** Notes that the store is asked now; when that is. */
  noteRead(): Milliseconds {
    this.#readAtMs = this.clock.monotonicMs();
    return this.#readAtMs;
  }

  /**
   * The pause before the next look. A host that knows nothing yet looks often; one whose word is old
   * while it is not its turn looks no oftener than turns pass, so that an outage does not keep all
   * hosts awake.
   */
  get pauseMs(): Milliseconds {
    const { isKnown, oldAfterMs, wordAgeMs } = this.knowledge();
    if (!isKnown) return SHORTEST_PAUSE_MS;
    const leftMs = oldAfterMs - wordAgeMs;
    return leftMs > 0
      ? Math.max(SHORTEST_PAUSE_MS, Math.min(LOOK_AGAIN_MS, leftMs))
      : LOOK_AGAIN_MS;
  }
}
