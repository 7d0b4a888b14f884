import type { Clock, Milliseconds } from '@poppypond/core';

/** Bytes written are compared with the link over windows of this length. */
const WINDOW_MS: Milliseconds = 1000;
/** Part of the link above which it counts as busy; the rest is for headers, peers and bursts. */
const BUSY_SHARE = 0.8;
const MS_PER_SECOND = 1000;
/** One megabit, in bytes. */
const BYTES_PER_MEGABIT = 125_000;

/**
 * Compares the bytes written to callers and servers with the bandwidth of the host's link. A chunk
 * counts when it is completely written, so that bytes that a slow reader leaves count only later.
 */
export class LinkUse {
  readonly #bytesPerSecond: number;
  #windowSinceMs: Milliseconds;
  #windowBytes = 0;
  /** Rate of the last complete window. */
  #lastBytesPerSecond = 0;

  constructor(
    readonly clock: Clock,
    megabitsPerSecond: number,
  ) {
    this.#bytesPerSecond = megabitsPerSecond * BYTES_PER_MEGABIT;
    this.#windowSinceMs = clock.monotonicMs();
  }

  /** Records bytes that were written to a caller or a server. */
  onWritten(bytes: number): void {
    this.#closeWindow();
    this.#windowBytes += bytes;
  }

  /** Part of the link that was used in the last complete window; above 1 if it is faster. */
  get share(): number {
    this.#closeWindow();
    return this.#lastBytesPerSecond / this.#bytesPerSecond;
  }

  /** Whether more than `BUSY_SHARE` of the link was used for a second. */
  get isBusy(): boolean {
    return this.share > BUSY_SHARE;
  }

  /** Ends the window if it is over; a longer one, without any calls, counts by its mean. */
  #closeWindow(): void {
    const nowMs = this.clock.monotonicMs();
    const tookMs = nowMs - this.#windowSinceMs;
    if (tookMs < WINDOW_MS) return;
    this.#lastBytesPerSecond = (this.#windowBytes * MS_PER_SECOND) / tookMs;
    this.#windowBytes = 0;
    this.#windowSinceMs = nowMs;
  }
}

/** Returns the use of a link; undefined if its bandwidth is not known, which 0 stands for. */
export function linkUseOf(clock: Clock, megabitsPerSecond: number): LinkUse | undefined {
  return megabitsPerSecond > 0 ? new LinkUse(clock, megabitsPerSecond) : undefined;
}
