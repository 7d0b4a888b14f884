import type { Clock, Milliseconds } from '@poppypond/core';
import type { CallerConnection, ReadReport } from './caller-connection.js';

/** An ordinary request is smaller; on a slow host it takes long together with its first steps. */
const MIN_COUNTED_BYTES = 16 * 1024;
/** Parsing 64 KB of a body in chunks of some size takes less than a millisecond. */
const MIN_COUNTED_MS: Milliseconds = 5;
/** A read of 64 KB takes less; more time means that the process was paused. */
const MAX_COUNTED_MS: Milliseconds = 50;
/** Time for which a connection rests, relative to its parsing. */
const REST_FACTOR = 2;

/**
 * Stops reading for a while from connections that take long to parse, so that all of them together
 * leave the larger part of the processor to others.
 */
export class ParsingRest {
  #restingCount = 0;

  constructor(readonly clock: Clock) {}

  /** Lets the connection rest if its last read was large and took long. */
  onRead(connection: CallerConnection, { bytes, parsingMs }: ReadReport): void {
    if (bytes < MIN_COUNTED_BYTES || parsingMs <= MIN_COUNTED_MS) return;
    this.#restingCount += 1;
    connection.hold('parsing');
    const countedMs = Math.min(parsingMs, MAX_COUNTED_MS);
    this.clock.after(countedMs * REST_FACTOR * this.#restingCount, () => {
      this.#restingCount -= 1;
      connection.release('parsing');
    });
  }
}
