import type { Milliseconds } from '@poppypond/core';

/** The times at which a peer sends messages and this host reads them. */
interface ClockDifference {
  readonly incarnation: string;
  /** Smallest difference between the clocks, transit included, in this period and the last. */
  smallestMs: Milliseconds;
  previousSmallestMs: Milliseconds;
  readonly periodFromMs: Milliseconds;
}

/**
 * Clocks of two hosts drift apart by some milliseconds in this time, and several heartbeats arrive
 * without delay.
 */
const PERIOD_MS: Milliseconds = 30_000;
/** More hosts than any deployment has. */
const MAX_PEERS = 1024;

/** Who sent a report, and when on its own clock; undefined if the message does not state it. */
export interface ReportSender {
  readonly host: string;
  readonly incarnation: string;
  readonly sentAtMs?: Milliseconds | undefined;
}

/**
 * Dates messages of peers by their own clocks. A message may be read long after it was sent, if this
 * process was suspended; the time of reading would make what it states seem new. The smallest
 * difference that was seen between a peer's clock and the time of reading belongs to a message
 * without delay.
 */
export class PeerClocks {
  readonly #differences = new Map<string, ClockDifference>();

  /** Learns from a heartbeat that `host` sent at `sentAtMs` on its clock, and was read at `nowMs`. */
  learn(host: string, incarnation: string, sentAtMs: Milliseconds, nowMs: Milliseconds): void {
    const differenceMs = nowMs - sentAtMs;
    const known = this.#differences.get(host);
    const isSame = known?.incarnation === incarnation;
    if (isSame && nowMs - known.periodFromMs < PERIOD_MS) {
      known.smallestMs = Math.min(known.smallestMs, differenceMs);
      return;
    }
    const previousSmallestMs = isSame ? known.smallestMs : differenceMs;
    if (!known && this.#differences.size >= MAX_PEERS) this.#differences.clear();
    const next = { incarnation, smallestMs: differenceMs, previousSmallestMs, periodFromMs: nowMs };
    this.#differences.set(host, next);
  }

  /**
   * When a message was sent that was read at `nowMs`, on this process's clock; `nowMs` if the
   * message does not state it, or too little is known of the peer's clock.
   */
  sentAt({ host, incarnation, sentAtMs }: ReportSender, nowMs: Milliseconds): Milliseconds {
    const known = this.#differences.get(host);
    if (sentAtMs === undefined || known?.incarnation !== incarnation) return nowMs;
    const differenceMs = Math.min(known.smallestMs, known.previousSmallestMs);
    return Math.min(nowMs, sentAtMs + differenceMs);
  }
}
