import { repeatUsingAfter } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

interface Timer {
  readonly dueMs: Milliseconds;
  /**
   * Sequence number; timers that are due at the same time fire in the order in which they were set.
   */
  readonly order: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.dueMs === right.dueMs ? left.order < right.order : left.dueMs < right.dueMs;
}

/** A clock that advances from one timer to the next. Its callbacks run synchronously. */
export class VirtualClock implements Clock {
  #nowMs: Milliseconds = 0;
  #order = 0;
  /** Binary min-heap; the next timer is its first element. */
  readonly #heap: Timer[] = [];

  monotonicMs(): Milliseconds {
    return this.#nowMs;
  }

  wallMs(): Milliseconds {
    return this.#nowMs;
  }

  after(delayMs: Milliseconds, callback: () => void): CancelTimer {
    this.#order += 1;
    const dueMs = this.#nowMs + Math.max(0, delayMs);
    const timer = { dueMs, order: this.#order, callback, isCancelled: false };
    this.#push(timer);
    return () => {
      timer.isCancelled = true;
    };
  }

  every(periodMs: Milliseconds, callback: () => void): CancelTimer {
    return repeatUsingAfter(this, periodMs, callback);
  }

  /** Fires all timers that are due up to `untilMs`, in order, and sets the clock to `untilMs`. */
  runUntil(untilMs: Milliseconds): void {
    for (;;) {
      const next = this.#heap[0];
      if (!next || next.dueMs > untilMs) break;
      this.#popFirst();
      if (next.isCancelled) continue;
      this.#nowMs = next.dueMs;
      next.callback();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  #push(timer: Timer): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex];
      if (!parent || !isBefore(timer, parent)) break;
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = timer;
  }

  #popFirst(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      const childIndex = this.#lesserChild(index);
      const child = heap[childIndex];
      if (!child || !isBefore(child, last)) break;
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }

  #lesserChild(index: number): number {
    const leftIndex = 2 * index + 1;
    const left = this.#heap[leftIndex];
    const right = this.#heap[leftIndex + 1];
    return left && right && isBefore(right, left) ? leftIndex + 1 : leftIndex;
  }
}
