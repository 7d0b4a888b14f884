import type { Milliseconds } from '@poppypond/core';

/** Durations that are kept of each route: 1 MB for all routes. */
const KEPT_DURATIONS = 256;
/** More routes than any configuration has; beyond it the oldest one is dropped. */
const MAX_ROUTES = 512;

/** How long the recent requests of each route took, from their first attempt to their response. */
export class RequestDurations {
  readonly #recent = new Map<string, readonly Milliseconds[]>();

  record(route: string, tookMs: Milliseconds): void {
    const recent = this.#recent.get(route) ?? [];
    this.#recent.set(route, [...recent, tookMs].slice(-KEPT_DURATIONS));
    const [oldest] = this.#recent.keys();
    if (this.#recent.size > MAX_ROUTES && oldest !== undefined) this.#recent.delete(oldest);
  }

  /** Returns the longest recent duration of the route's requests, if any is known. */
  longestMs(route: string): Milliseconds | undefined {
    const recent = this.#recent.get(route);
    return recent && Math.max(...recent);
  }
}
