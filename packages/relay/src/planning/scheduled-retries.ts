import type { Milliseconds } from '@poppypond/core';

/** A request that is refused because no permit is available. */
export interface RefusedRequest {
  /** Identifies the content of the request, the same when it is retried; undefined if unknown. */
  readonly content: string | undefined;
  /** When a permit is expected for it, after the requests that wait. */
  readonly expectedAtMs: Milliseconds;
  /** When its time limit ends. */
  readonly deadlineAtMs: Milliseconds;
  /** Permits per second of its service. */
  readonly perSecond: number;
}

/** A refused request that is expected again. */
export interface ScheduledRetry {
  readonly content: string;
  /** When its caller was told to return. */
  readonly atMs: Milliseconds;
}

const MS_PER_SECOND = 1000;
/**
 * Share of the permits that is reserved for scheduled retries; the rest goes to first attempts. If
 * all permits are reserved, hardly any first attempt is served: 0.07 instead of 0.35 at 1.2 times
 * the rate that the servers accept, with as many served in total.
 */
const RESERVED_SHARE = 0.5;
/**
 * A caller that would have to wait longer than this share of its remaining time retries earlier, or
 * not at all.
 */
export const MAX_WAIT_SHARE = 1 / 3;
/**
 * A retry may arrive this much before its time, since clocks and network delays differ, or this
 * much after it.
 */
const EARLY_TOLERANCE_MS: Milliseconds = 100;
const LATE_TOLERANCE_MS: Milliseconds = 2000;
/** How long after its time a permit stays reserved for a retry that has not arrived. */
const RESERVED_FOR_MS: Milliseconds = 300;
const MAX_SCHEDULED = 4096;

/**
 * Schedules the retries of refused callers of one service: each gets its own time, one after
 * another, and then precedes new requests. A caller whose time limit is too short is scheduled
 * nothing.
 */
export class ScheduledRetries {
  /** `reservedShare`: share of the permits that is reserved for scheduled retries. */
  constructor(readonly reservedShare = RESERVED_SHARE) {}

  #scheduled: readonly ScheduledRetry[] = [];
  #lastScheduledAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether a request was told to retry at about this time. */
  isDue(content: string | undefined, nowMs: Milliseconds): boolean {
    return content !== undefined && this.#find(content, nowMs) >= 0;
  }

  /** Removes the scheduled retry of a request that has returned, whether it is served or not. */
  settle(content: string | undefined, nowMs: Milliseconds): void {
    if (content === undefined) return;
    const place = this.#find(content, nowMs);
    if (place >= 0) this.#scheduled = this.#scheduled.filter((_unused, index) => index !== place);
  }

  /** Time until the scheduled retry of a request; undefined if it has none or it is due. */
  remainingMs(content: string, nowMs: Milliseconds): Milliseconds | undefined {
    const known = this.#scheduled.find((retry) => retry.content === content && retry.atMs > nowMs);
    return known && known.atMs - nowMs;
  }

  /** Contents whose retries are due by `untilMs` or were due lately and have not returned. */
  dueBy(untilMs: Milliseconds, nowMs: Milliseconds): readonly string[] {
    return this.#scheduled
      .filter(({ atMs }) => atMs >= nowMs - LATE_TOLERANCE_MS)
      .filter(({ atMs }) => atMs <= untilMs + EARLY_TOLERANCE_MS)
      .map(({ content }) => content);
  }

  /** Number of permits reserved for retries that are due by `untilMs`. */
  reservedUntil(untilMs: Milliseconds, nowMs: Milliseconds): number {
    const sinceMs = nowMs - RESERVED_FOR_MS;
    return this.#scheduled.filter(({ atMs }) => atMs >= sinceMs && atMs <= untilMs).length;
  }

  /**
   * Returns the delay until the caller may retry; a permit is reserved for then if the caller's
   * time limit allows it.
   */
  schedule(
    { content, expectedAtMs, deadlineAtMs, perSecond }: RefusedRequest,
    nowMs: Milliseconds,
  ): Milliseconds {
    this.#scheduled = this.all(nowMs);
    const pauseMs = MS_PER_SECOND / (perSecond * this.reservedShare);
    const atMs = Math.max(expectedAtMs, this.#lastScheduledAtMs + pauseMs);
    const isInTime = atMs - nowMs <= (deadlineAtMs - nowMs) * MAX_WAIT_SHARE;
    if (isInTime && content !== undefined && this.#scheduled.length < MAX_SCHEDULED) {
      this.#scheduled = [...this.#scheduled, { content, atMs }];
      this.#lastScheduledAtMs = atMs;
    }
    return atMs - nowMs;
  }

  /** All that are scheduled or were due lately and have not returned. */
  all(nowMs: Milliseconds): readonly ScheduledRetry[] {
    return this.#scheduled.filter(({ atMs }) => atMs >= nowMs - LATE_TOLERANCE_MS);
  }

  /** Adds retries whose times were given elsewhere. */
  expect(retries: readonly ScheduledRetry[], nowMs: Milliseconds): void {
    const contents = new Set(retries.map(({ content }) => content));
    const others = this.all(nowMs).filter(({ content }) => !contents.has(content));
    this.#scheduled = [...others, ...retries].slice(0, MAX_SCHEDULED);
  }

  /** Adds retries that another planner has scheduled; the next one is scheduled after them. */
  restore(retries: readonly ScheduledRetry[], nowMs: Milliseconds): void {
    this.expect(retries, nowMs);
    const times = retries.map(({ atMs }) => atMs);
    this.#lastScheduledAtMs = Math.max(this.#lastScheduledAtMs, ...times);
  }

  #find(content: string, nowMs: Milliseconds): number {
    return this.#scheduled.findIndex(({ content: other, atMs }) => {
      return (
        other === content && nowMs >= atMs - EARLY_TOLERANCE_MS && nowMs <= atMs + LATE_TOLERANCE_MS
      );
    });
  }
}
