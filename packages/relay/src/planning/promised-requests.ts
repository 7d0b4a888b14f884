import type { Milliseconds } from '@poppypond/core';

const MAX_PROMISED = 4096;

/** A request that is not refused again. */
export interface PromisedRequest {
  readonly content: string;
  readonly priority: number;
  readonly deadlineAtMs: Milliseconds;
}

/** Requests that have returned at their scheduled time and are not refused again. */
export class PromisedRequests {
  /** By content, oldest first. */
  readonly #byContent = new Map<string, PromisedRequest>();
  /** Contents of those that were given engines since they last asked. */
  readonly #placed = new Set<string>();

  /** Adds a request until its deadline; the oldest makes room if there are too many. */
  add(request: PromisedRequest, nowMs: Milliseconds): void {
    this.#placed.delete(request.content);
    if (this.has(request.content, nowMs)) return;
    this.#byContent.delete(request.content);
    for (const [content, { deadlineAtMs }] of this.#byContent) {
      if (deadlineAtMs >= nowMs && this.#byContent.size < MAX_PROMISED) break;
      this.#byContent.delete(content);
      this.#placed.delete(content);
    }
    this.#byContent.set(request.content, request);
  }

  /** Records that a request was given engines; does nothing if it is not known. */
  onPlaced(content: string): void {
    if (this.#byContent.has(content)) this.#placed.add(content);
  }

  /** Whether a request was given engines and has not asked again. */
  isPlaced(content: string): boolean {
    return this.#placed.has(content);
  }

  has(content: string, nowMs: Milliseconds): boolean {
    const known = this.#byContent.get(content);
    return known !== undefined && known.deadlineAtMs >= nowMs;
  }

  /** The requests whose deadline has not passed. */
  all(nowMs: Milliseconds): readonly PromisedRequest[] {
    return [...this.#byContent.values()].filter(({ deadlineAtMs }) => deadlineAtMs >= nowMs);
  }

  clear(): void {
    this.#byContent.clear();
    this.#placed.clear();
  }
}
