import type { Milliseconds } from '@poppypond/core';
import { DecayedRate } from './decayed-rate.js';

/** A request of some size. */
export interface SizedRequest {
  readonly priority: number;
  readonly engineMs: Milliseconds;
}

/** Half-life of the counts: about ten large prompts in a burst of five long ones a second. */
const HALF_LIFE_MS: Milliseconds = 8000;
/**
 * Requests that need more than this multiple of the mean engine time of their priority are large:
 * about the largest tenth of a usual distribution of prompt lengths.
 */
const LARGE_FACTOR = 1.7;
/**
 * Large requests are behind if they are served less than this multiple as often as the others. At
 * 1.6 times the usual load and a burst, the largest tenth is then served 0.71 to 0.97 times as often
 * as the rest (nine seeds, at 0.75 and 1); without this rule, at most 0.2
 * times (two seeds).
 */
const MIN_RELATIVE_SHARE = 0.9;

const MAX_PRIORITIES = 16;

class SizeClass {
  readonly requested = new DecayedRate(HALF_LIFE_MS);
  readonly served = new DecayedRate(HALF_LIFE_MS);

  /** Share of the requests that are served; 1 if there are none. */
  servedShare(nowMs: Milliseconds): number {
    const requested = this.requested.perSecond(nowMs);
    return requested > 0 ? this.served.perSecond(nowMs) / requested : 1;
  }
}

class PrioritySizes {
  readonly requests = new DecayedRate(HALF_LIFE_MS);
  readonly engineMs = new DecayedRate(HALF_LIFE_MS);
  readonly large = new SizeClass();
  readonly others = new SizeClass();

  classOf(request: SizedRequest, nowMs: Milliseconds): SizeClass {
    return this.isLarge(request, nowMs) ? this.large : this.others;
  }

  isLarge({ engineMs }: SizedRequest, nowMs: Milliseconds): boolean {
    const meanMs = this.engineMs.perSecond(nowMs) / this.requests.perSecond(nowMs);
    return engineMs > meanMs * LARGE_FACTOR;
  }
}

/**
 * Compares how often large requests of each priority are served. They need many free engines at the
 * same time, and others would take each engine as it becomes free.
 */
export class SizeShares {
  readonly #byPriority = new Map<number, PrioritySizes>();

  /** Counts a new request. */
  onRequested(request: SizedRequest, nowMs: Milliseconds): void {
    const sizes = this.#byPriority.get(request.priority) ?? new PrioritySizes();
    if (this.#byPriority.size < MAX_PRIORITIES) this.#byPriority.set(request.priority, sizes);
    sizes.requests.add(1, nowMs);
    sizes.engineMs.add(request.engineMs, nowMs);
    sizes.classOf(request, nowMs).requested.add(1, nowMs);
  }

  /** Counts a request that was given engines. */
  onServed(request: SizedRequest, nowMs: Milliseconds): void {
    this.#byPriority.get(request.priority)?.classOf(request, nowMs).served.add(1, nowMs);
  }

  /** Whether a request is large, and large ones of its priority were served too seldom lately. */
  isBehind(request: SizedRequest, nowMs: Milliseconds): boolean {
    const sizes = this.#byPriority.get(request.priority);
    if (!sizes?.isLarge(request, nowMs)) return false;
    const others = sizes.others.servedShare(nowMs);
    return sizes.large.servedShare(nowMs) < others * MIN_RELATIVE_SHARE;
  }
}
