import type { Milliseconds } from '@poppypond/core';

/** Durations that are kept of each route. */
const KEPT_DURATIONS = 64;
/** More routes than any configuration has; beyond it the oldest one is dropped. */
const MAX_ROUTES = 512;
/** Share of a route's requests that take no longer than is expected. */
const EXPECTED_QUANTILE = 0.95;

/** How long the recent requests of each route took, from their first attempt to their response. */
export class RequestDurations {
  readonly #recent = new Map<string, readonly Milliseconds[]>();

  record(route: string, tookMs: Milliseconds): void {
    const recent = this.#recent.get(route) ?? [];
    this.#recent.set(route, [...recent, tookMs].slice(-KEPT_DURATIONS));
    const [oldest] = this.#recent.keys();
    if (this.#recent.size > MAX_ROUTES && oldest !== undefined) this.#recent.delete(oldest);
  }

  /** Returns the duration that a request of the route is expected not to exceed, if it is known. */
  expectedMs(route: string): Milliseconds | undefined {
    const ascending = [...(this.#recent.get(route) ?? [])].sort((one, other) => one - other);
    return ascending[Math.floor((ascending.length - 1) * EXPECTED_QUANTILE)];
  }
}
