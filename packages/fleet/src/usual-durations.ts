import type { Milliseconds } from '@poppypond/core';

/** Durations that are kept of each kind of call. */
const KEPT_DURATIONS = 64;
/** With fewer durations the usual one is not known. */
const MIN_DURATIONS = 16;
/** The median is computed again after this many durations. */
const MEDIAN_PERIOD = 8;
/** More kinds of calls than any configuration has; beyond it the oldest one is dropped. */
const MAX_KINDS = 512;
/** Shorter usual durations are dominated by the delays of this host. */
const MIN_USUAL_MS: Milliseconds = 2;
/**
 * A call that takes less than this longer than usual counts as usual: callers do not notice it, as
 * their latency targets are ten times as long, and delays of a busy host made even servers with
 * calls of 2 ms count as slow, which then got no calls.
 */
const MIN_EXCESS_MS: Milliseconds = 20;

interface KnownDurations {
  recent: readonly Milliseconds[];
  usualMs: Milliseconds | undefined;
  sinceMedian: number;
}

/** The median duration of the recent calls of each kind, over all servers. */
export class UsualDurations {
  readonly #kinds = new Map<string, KnownDurations>();

  /** Records a call. Returns its duration relative to the usual one; undefined if that is unknown. */
  record(kind: string, durationMs: Milliseconds): number | undefined {
    const known = this.#find(kind);
    const { usualMs } = known;
    known.recent = [...known.recent, durationMs].slice(-KEPT_DURATIONS);
    known.sinceMedian += 1;
    if (known.recent.length >= MIN_DURATIONS && known.sinceMedian >= MEDIAN_PERIOD) {
      const ascending = [...known.recent].sort((one, two) => one - two);
      known.usualMs = Math.max(MIN_USUAL_MS, ascending[Math.floor(ascending.length / 2)] ?? 0);
      known.sinceMedian = 0;
    }
    if (usualMs === undefined) return undefined;
    const isSlower = durationMs - usualMs >= MIN_EXCESS_MS;
    return isSlower ? durationMs / usualMs : Math.min(1, durationMs / usualMs);
  }

  #find(kind: string): KnownDurations {
    const known = this.#kinds.get(kind);
    if (known) return known;
    const created = { recent: [], usualMs: undefined, sinceMedian: 0 };
    this.#kinds.set(kind, created);
    const [oldest] = this.#kinds.keys();
    if (this.#kinds.size > MAX_KINDS && oldest !== undefined) this.#kinds.delete(oldest);
    return created;
  }
}
