import type { Milliseconds } from '@poppypond/core';

/** A caller that is refused for want of a place. */
export interface Refused {
  /** Names what is asked, the same when it comes back; undefined where that is not known. */
  readonly content: string | undefined;
  /** When a place is foreseen for it, after those that wait. */
  readonly foreseenAtMs: Milliseconds;
  /** When its time is up. */
  readonly limitAtMs: Milliseconds;
  /** Places a second of its service. */
  readonly perSecond: number;
}

interface Promised {
  readonly content: string;
  readonly atMs: Milliseconds;
}

const MS_PER_SECOND = 1000;
/**
 * Part of the places that is promised to callers that were refused; the others go to those who come. Where all are
 * promised, hardly any caller is served when it first comes: 0.07 in place of 0.35 where 1.2 times what the servers take is
 * asked for, and as many are served in all.
 */
const PROMISED_SHARE = 0.5;
/** A caller that would wait for more than this part of what time it has comes back before, or not at all. */
const WAITED_SHARE = 1 / 3;
/** A caller may come back this much before its moment, as clocks and ways differ, or after it. */
const EARLY_MS: Milliseconds = 100;
const LATE_MS: Milliseconds = 2000;
/** For how long after its moment a place is kept for a caller that has not come back. */
const KEPT_MS: Milliseconds = 300;
const MOST_PROMISED = 4096;

/**
 * When callers of one service that were refused come back: one after the other, each at a moment that is its own, and
 * is served before those who come then. A caller whose time does not allow that is promised nothing.
 */
export class ReturnPromises {
  /** In the order of their moments. */
  #promised: readonly Promised[] = [];
  #lastAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether a request is one that was told to come back about now. */
  isDue(content: string | undefined, nowMs: Milliseconds): boolean {
    return content !== undefined && this.#find(content, nowMs) >= 0;
  }

  /** A request that came back has come to its end, served or not. */
  settle(content: string | undefined, nowMs: Milliseconds): void {
    if (content === undefined) return;
    const place = this.#find(content, nowMs);
    if (place >= 0) this.#promised = this.#promised.filter((_unused, index) => index !== place);
  }

  /** Places that are kept for callers that come back until `untilMs`. */
  keptUntil(untilMs: Milliseconds, nowMs: Milliseconds): number {
    const sinceMs = nowMs - KEPT_MS;
    return this.#promised.filter(({ atMs }) => atMs >= sinceMs && atMs <= untilMs).length;
  }

  /** How long until a caller may come back, which is promised a place then if its time allows that. */
  tell(
    { content, foreseenAtMs, limitAtMs, perSecond }: Refused,
    nowMs: Milliseconds,
  ): Milliseconds {
    this.#promised = this.#promised.filter(({ atMs }) => atMs >= nowMs - LATE_MS);
    const pauseMs = MS_PER_SECOND / (perSecond * PROMISED_SHARE);
    const atMs = Math.max(foreseenAtMs, this.#lastAtMs + pauseMs);
    const isInTime = atMs - nowMs <= (limitAtMs - nowMs) * WAITED_SHARE;
    if (isInTime && content !== undefined && this.#promised.length < MOST_PROMISED) {
      this.#promised = [...this.#promised, { content, atMs }];
      this.#lastAtMs = atMs;
    }
    return atMs - nowMs;
  }

  #find(content: string, nowMs: Milliseconds): number {
    return this.#promised.findIndex(({ content: other, atMs }) => {
      return other === content && nowMs >= atMs - EARLY_MS && nowMs <= atMs + LATE_MS;
    });
  }
}
