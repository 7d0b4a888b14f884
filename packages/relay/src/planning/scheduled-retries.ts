import type { Milliseconds } from '@poppypond/core';

/** A caller that is refused for want of a place. */
export interface RefusedRequest {
  /** Names what is asked, the same when it comes back; undefined where that is not known. */
  readonly content: string | undefined;
  /** When a place is foreseen for it, after those that wait. */
  readonly expectedAtMs: Milliseconds;
  /** When its time is up. */
  readonly deadlineAtMs: Milliseconds;
  /** Places a second of its service. */
  readonly perSecond: number;
}

interface ScheduledRetry {
  readonly content: string;
  readonly atMs: Milliseconds;
}

const MS_PER_SECOND = 1000;
/**
 * Part of the places that is promised to callers that were refused; the others go to those who come. Where all are
 * promised, hardly any caller is served when it first comes: 0.07 in place of 0.35 where 1.2 times what the servers take is
 * asked for, and as many are served in all.
 */
const RESERVED_SHARE = 0.5;
/** A caller that would wait for more than this part of what time it has comes back before, or not at all. */
const MAX_WAIT_SHARE = 1 / 3;
/** A caller may come back this much before its moment, as clocks and ways differ, or after it. */
const EARLY_TOLERANCE_MS: Milliseconds = 100;
const LATE_TOLERANCE_MS: Milliseconds = 2000;
/** For how long after its moment a place is kept for a caller that has not come back. */
const RESERVED_FOR_MS: Milliseconds = 300;
const MAX_SCHEDULED = 4096;

/**
 * When callers of one service that were refused come back: one after the other, each at a moment that is its own, and
 * is served before those who come then. A caller whose time does not allow that is promised nothing.
 */
export class ScheduledRetries {
  /** In the order of their moments. */
  #scheduled: readonly ScheduledRetry[] = [];
  #lastScheduledAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether a request is one that was told to come back about now. */
  isDue(content: string | undefined, nowMs: Milliseconds): boolean {
    return content !== undefined && this.#find(content, nowMs) >= 0;
  }

  /** A request that came back has come to its end, served or not. */
  settle(content: string | undefined, nowMs: Milliseconds): void {
    if (content === undefined) return;
    const place = this.#find(content, nowMs);
    if (place >= 0) this.#scheduled = this.#scheduled.filter((_unused, index) => index !== place);
  }

  /** Places that are kept for callers that come back until `untilMs`. */
  reservedUntil(untilMs: Milliseconds, nowMs: Milliseconds): number {
    const sinceMs = nowMs - RESERVED_FOR_MS;
    return this.#scheduled.filter(({ atMs }) => atMs >= sinceMs && atMs <= untilMs).length;
  }

  /** How long until a caller may come back, which is promised a place then if its time allows that. */
  schedule(
    { content, expectedAtMs, deadlineAtMs, perSecond }: RefusedRequest,
    nowMs: Milliseconds,
  ): Milliseconds {
    this.#scheduled = this.#scheduled.filter(({ atMs }) => atMs >= nowMs - LATE_TOLERANCE_MS);
    const pauseMs = MS_PER_SECOND / (perSecond * RESERVED_SHARE);
    const atMs = Math.max(expectedAtMs, this.#lastScheduledAtMs + pauseMs);
    const isInTime = atMs - nowMs <= (deadlineAtMs - nowMs) * MAX_WAIT_SHARE;
    if (isInTime && content !== undefined && this.#scheduled.length < MAX_SCHEDULED) {
      this.#scheduled = [...this.#scheduled, { content, atMs }];
      this.#lastScheduledAtMs = atMs;
    }
    return atMs - nowMs;
  }

  #find(content: string, nowMs: Milliseconds): number {
    return this.#scheduled.findIndex(({ content: other, atMs }) => {
      return (
        other === content && nowMs >= atMs - EARLY_TOLERANCE_MS && nowMs <= atMs + LATE_TOLERANCE_MS
      );
    });
  }
}
