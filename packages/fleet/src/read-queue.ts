import type { Milliseconds } from '@poppypond/core';

/** A long prompt that waits until the engines are free to read it. */
export interface WaitingRead {
  readonly requestId: string;
  /** Time to read it on one engine. */
  readonly readMs: Milliseconds;
  /** When its first event comes too late for its aim, on this process's clock. */
  readonly aimAtMs: Milliseconds;
  /** When it has waited so long that it goes before all others, on this process's clock. */
  readonly overdueAtMs: Milliseconds;
  /** Whether it lets others pass, as it waits for engines that it would not disturb. */
  readonly isYielding: boolean;
  /** When it is dropped whatever was heard, on this process's clock. */
  readonly expiresAtMs: Milliseconds;
}

/** Engines among which a long prompt is taken to be split, to tell whether it can be in time. */
const ASSUMED_PARTS = 12;

function latestStartMs(read: WaitingRead): Milliseconds {
  return read.aimAtMs - read.readMs / ASSUMED_PARTS;
}

/**
 * Prompts that are overdue come first, as their callers are about to leave; then those that can
 * still be in time, the most pressing before others; then the short.
 */
function precedes(left: WaitingRead, right: WaitingRead, nowMs: Milliseconds): boolean {
  const isLeftOverdue = left.overdueAtMs <= nowMs;
  if (isLeftOverdue !== right.overdueAtMs <= nowMs) return isLeftOverdue;
  const isLeftInTime = latestStartMs(left) >= nowMs;
  const isRightInTime = latestStartMs(right) >= nowMs;
  if (isLeftInTime !== isRightInTime) return isLeftInTime;
  const difference = isLeftInTime
    ? latestStartMs(left) - latestStartMs(right)
    : left.readMs - right.readMs;
  if (difference !== 0) return difference < 0;
  return left.requestId < right.requestId;
}

/** All long prompts that wait, and their order. */
export class ReadQueue {
  readonly #reads = new Map<string, WaitingRead>();

  find(requestId: string): WaitingRead | undefined {
    return this.#reads.get(requestId);
  }

  /** Adds a prompt, or replaces what is known of it. */
  add(read: WaitingRead): void {
    this.#reads.set(read.requestId, read);
  }

  remove(requestId: string): void {
    this.#reads.delete(requestId);
  }

  /** Waiting prompts that come before this one. */
  countBefore(read: WaitingRead, nowMs: Milliseconds): number {
    let before = 0;
    for (const other of this.#reads.values()) {
      if (other.requestId === read.requestId) continue;
      if (other.expiresAtMs <= nowMs) this.#reads.delete(other.requestId);
      else if (!other.isYielding && precedes(other, read, nowMs)) before += 1;
    }
    return before;
  }
}
