import type { Clock, Milliseconds } from '@poppypond/core';
import type { CallerConnection } from './caller-connection.js';
import type { ReadReport } from './connection-observer.js';

/** An ordinary request is smaller; on a slow host it takes long together with its first steps. */
const MIN_COUNTED_BYTES = 16 * 1024;
/** Parsing 64 KB of a body in chunks of some size takes less than a millisecond. */
const MIN_COUNTED_MS: Milliseconds = 5;
/** A read of 64 KB takes less; more time means that the process was paused. */
const MAX_COUNTED_MS: Milliseconds = 50;
/** Time for which a connection rests for each other one, relative to its parsing. */
const REST_FACTOR = 2;
/** Parts of one read; more are heads or chunks of less than 64 bytes. */
const MANY_PARTS = 1000;
/** A connection counts for this long after its rest. */
const RECENT_MS: Milliseconds = 1000;

/** Until when a connection counts. */
interface Entry {
  untilMs: Milliseconds;
}

/**
 * Stops reading for a while from connections that take long to parse, so that several of them leave
 * a good part of the processor to others. A single one that sends one body does not rest.
 */
export class ParsingRest {
  /**
   * Of the connections that take long to parse. They do not refer to them: closed connections would
   * stay in memory with all their requests.
   */
  readonly #entries = new Set<Entry>();
  readonly #entryOf = new WeakMap<CallerConnection, Entry>();

  constructor(
    readonly clock: Clock,
    readonly maxRestMs: Milliseconds,
  ) {}

  /**
   * Lets the connection rest if its last read was large and took long. Returns false if it consists of
   * very small chunks and would have to rest for too long, as too many others rest.
   */
  onRead(connection: CallerConnection, { bytes, partCount, parsingMs }: ReadReport): boolean {
    if (bytes < MIN_COUNTED_BYTES || parsingMs <= MIN_COUNTED_MS) return true;
    if (connection.socket.destroyed) return true;
    const nowMs = this.clock.monotonicMs();
    const entry = this.#entryOf.get(connection) ?? { untilMs: nowMs };
    this.#entryOf.set(connection, entry);
    this.#entries.delete(entry);
    for (const other of this.#entries) if (other.untilMs < nowMs) this.#entries.delete(other);
    const countedMs = Math.min(parsingMs, MAX_COUNTED_MS);
    const count = this.#entries.size + (connection.isPipelining ? 1 : 0);
    const restMs = countedMs * REST_FACTOR * count;
    if (restMs > this.maxRestMs && partCount > MANY_PARTS) return false;
    entry.untilMs = nowMs + restMs + RECENT_MS;
    this.#entries.add(entry);
    if (restMs === 0) return true;
    connection.hold('parsing');
    this.clock.after(restMs, () => {
      connection.release('parsing');
    });
    return true;
  }
}
