import type { Milliseconds } from '@poppypond/core';
import type { PlacementRule } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import type { WaitingOrder } from './waiting-order.js';

/** Takes a planner's answer. */
export type AnswerListener = (answer: PlanAnswer) => void;

/** A request that waits for a place. */
export interface WaitingRequest {
  readonly request: PlanRequest;
  readonly onAnswer: AnswerListener;
  /** When its host was heard last, on this process's clock. */
  readonly askedAtMs: Milliseconds;
  readonly isFallback: boolean;
  /** What it waits for. */
  readonly rule: PlacementRule;
}

/** Whether a request comes first whatever the order says. */
export type HasPrecedence = (request: PlanRequest) => boolean;

/**
 * Requests that are looked at together; the others have their turn 10 ms later. One look takes 0.13 ms
 * with 150 engines (the mean of 1,200, beside other work), so 60 that wait would take three quarters
 * of a processor if all were looked at every time, and those that come would wait for it.
 */
const ROUND_SIZE = 16;

/** Requests that wait for a place, and which of them is served first. */
export class WaitingRequests {
  readonly #waiting = new Map<string, WaitingRequest>();
  #nextIndex = 0;

  constructor(readonly order: WaitingOrder) {}

  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a request, or replaces what is known of it. */
  set(waiting: WaitingRequest): void {
    this.#waiting.set(waiting.request.attemptId, waiting);
  }

  remove(attemptId: string): void {
    this.#waiting.delete(attemptId);
  }

  /** The next few in the order in which they are served, from the first again after the last. */
  nextRound(hasPrecedence: HasPrecedence): readonly WaitingRequest[] {
    const all = this.#inOrder([...this.#waiting.values()], hasPrecedence);
    const from = this.#nextIndex < all.length ? this.#nextIndex : 0;
    this.#nextIndex = from + ROUND_SIZE;
    return all.slice(from, this.#nextIndex);
  }

  /** How many wait for a place of a limit that are served before `request`, which may wait itself. */
  countAhead(request: PlanRequest, hasPrecedence: HasPrecedence): number {
    const { attemptId, priority, service } = request;
    const waiting = [...this.#waiting.values()].filter((other) => {
      return other.rule === 'waits_for_limit' && other.request.service === service;
    });
    if (waiting.length === 0) return 0;
    const order = this.#inOrder(waiting, hasPrecedence);
    const place = order.findIndex((other) => other.request.attemptId === attemptId);
    if (place >= 0) return place;
    const isFirst = hasPrecedence(request);
    return order.filter(({ request: other }) => {
      return hasPrecedence(other) || (!isFirst && other.priority <= priority);
    }).length;
  }

  #inOrder(
    waiting: readonly WaitingRequest[],
    hasPrecedence: HasPrecedence,
  ): readonly WaitingRequest[] {
    const order = this.order.sort(waiting);
    const isFirst = ({ request }: WaitingRequest) => hasPrecedence(request);
    return [...order.filter(isFirst), ...order.filter((other) => !isFirst(other))];
  }
}
