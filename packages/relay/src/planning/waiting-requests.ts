import type { Milliseconds } from '@poppypond/core';
import type { PlacementRule } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import type { WaitingOrder } from './waiting-order.js';

/** Takes a planner's answer. */
export type AnswerListener = (answer: PlanAnswer) => void;

/** A request that waits for a place. */
export interface Waiting {
  readonly request: PlanRequest;
  readonly onAnswer: AnswerListener;
  /** When its host was heard last, on this process's clock. */
  readonly askedAtMs: Milliseconds;
  readonly isAlone: boolean;
  /** What it waits for. */
  readonly rule: PlacementRule;
}

/** Whether a request comes first whatever the order says. */
export type ComesFirst = (request: PlanRequest) => boolean;

/**
 * Requests that are looked at together; the others have their turn 10 ms later. One look takes 0.13 ms
 * with 150 engines (the mean of 1,200, beside other work), so 60 that wait would take three quarters
 * of a processor if all were looked at every time, and those that come would wait for it.
 */
const LOOKED_AT_TOGETHER = 16;

/** Requests that wait for a place, and which of them is served first. */
export class WaitingRequests {
  readonly #waiting = new Map<string, Waiting>();
  #lookedAt = 0;

  constructor(readonly order: WaitingOrder) {}

  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a request, or replaces what is known of it. */
  set(waiting: Waiting): void {
    this.#waiting.set(waiting.request.attemptId, waiting);
  }

  remove(attemptId: string): void {
    this.#waiting.delete(attemptId);
  }

  /** The next few in the order in which they are served, from the first again after the last. */
  takeTurn(comesFirst: ComesFirst): readonly Waiting[] {
    const all = this.#inOrder([...this.#waiting.values()], comesFirst);
    const from = this.#lookedAt < all.length ? this.#lookedAt : 0;
    this.#lookedAt = from + LOOKED_AT_TOGETHER;
    return all.slice(from, this.#lookedAt);
  }

  /** How many wait for a place of a limit that are served before `request`, which may wait itself. */
  aheadOf(request: PlanRequest, comesFirst: ComesFirst): number {
    const { attemptId, priority, service } = request;
    const waiting = [...this.#waiting.values()].filter((other) => {
      return other.rule === 'waits_for_limit' && other.request.service === service;
    });
    if (waiting.length === 0) return 0;
    const order = this.#inOrder(waiting, comesFirst);
    const place = order.findIndex((other) => other.request.attemptId === attemptId);
    if (place >= 0) return place;
    const isFirst = comesFirst(request);
    return order.filter(({ request: other }) => {
      return comesFirst(other) || (!isFirst && other.priority <= priority);
    }).length;
  }

  #inOrder(waiting: readonly Waiting[], comesFirst: ComesFirst): readonly Waiting[] {
    const order = this.order.sort(waiting);
    const isFirst = ({ request }: Waiting) => comesFirst(request);
    return [...order.filter(isFirst), ...order.filter((other) => !isFirst(other))];
  }
}
