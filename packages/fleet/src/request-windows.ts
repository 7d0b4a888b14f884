import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from './backend-server.js';

/**
 * Period in which requests are counted: one second, and the tolerance for requests that arrive at
 * the server later than others that were sent after them.
 */
const WINDOW_MS: Milliseconds = 1050;

/** Counts the requests to each server in the last second. */
export class RequestWindows {
  /** When requests were counted, oldest first, by server id. */
  readonly #timesById = new Map<string, Milliseconds[]>();

  /** Number of servers that are kept. */
  get size(): number {
    return this.#timesById.size;
  }

  /** Number of requests that count against the bound of a server at `nowMs`. */
  countOf({ id }: BackendServer, nowMs: Milliseconds): number {
    const times = this.#timesById.get(id);
    if (!times) return 0;
    const isOver = (atMs: Milliseconds | undefined) =>
      atMs !== undefined && nowMs - atMs >= WINDOW_MS;
    while (isOver(times[0])) times.shift();
    return times.length;
  }

  /** Counts `requests` requests to a server at `nowMs`. */
  add(server: BackendServer, nowMs: Milliseconds, requests = 1): void {
    const known = this.#timesById.get(server.id);
    const times = known ?? [];
    for (let counted = 0; counted < requests; counted += 1) times.push(nowMs);
    if (known) return;
    this.#dropUnused(nowMs);
    this.#timesById.set(server.id, times);
  }

  /** Returns the time until fewer than `max` requests count; infinite if that never happens. */
  freeInMs(server: BackendServer, max: number, nowMs: Milliseconds): Milliseconds {
    if (max <= 0) return Number.POSITIVE_INFINITY;
    const count = this.countOf(server, nowMs);
    const freedAtMs = this.#timesById.get(server.id)?.[count - max];
    return count < max || freedAtMs === undefined ? 0 : freedAtMs + WINDOW_MS - nowMs;
  }

  /** Removes the servers without recent requests, so that servers that are gone take no memory. */
  #dropUnused(nowMs: Milliseconds): void {
    for (const [id, times] of this.#timesById) {
      const lastMs = times.at(-1) ?? Number.NEGATIVE_INFINITY;
      if (nowMs - lastMs >= WINDOW_MS) this.#timesById.delete(id);
    }
  }
}
