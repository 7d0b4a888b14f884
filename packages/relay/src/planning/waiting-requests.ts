import type { Milliseconds } from '@poppypond/core';
import type { PlacementRule } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import type { WaitingOrder } from './waiting-order.js';

/** Receives a planner's answer. */
export type AnswerListener = (answer: PlanAnswer) => void;

/** A request that waits for capacity. */
export interface WaitingRequest {
  readonly request: PlanRequest;
  readonly onAnswer: AnswerListener;
  /** When its host last asked, on this process's clock. */
  readonly askedAtMs: Milliseconds;
  readonly isFallback: boolean;
  /** The rule that makes it wait. */
  readonly rule: PlacementRule;
}

/** A condition on requests, such as whether one precedes others regardless of the order. */
export type RequestCheck = (request: PlanRequest) => boolean;

/**
 * Requests that are planned in one round; the others follow 10 ms later. One attempt takes 0.13 ms
 * with 150 engines (mean of 1,200, beside other work), so planning all of 60 waiting requests in
 * every round would take three quarters of a core and delay new requests.
 */
const ROUND_SIZE = 16;
/**
 * Requests of a round that are the most urgent of all that wait, whatever the turn, for services with
 * admission control. At 2.5 times the usual load 1.3 requests of the highest priority arrive between
 * two rounds; the other half of a round keeps the turn of less urgent requests.
 */
const URGENT_PER_ROUND = 8;

/** Returns the first requests of the most urgent priority; none if all have the same priority. */
function mostUrgent(inOrder: readonly WaitingRequest[]): readonly WaitingRequest[] {
  const priorities = inOrder.map(({ request }) => request.priority);
  const highest = Math.min(...priorities);
  if (highest === Math.max(...priorities)) return [];
  return inOrder.filter(({ request }) => request.priority === highest).slice(0, URGENT_PER_ROUND);
}

/** The waiting requests, and the order in which they are served. */
export class WaitingRequests {
  readonly #waiting = new Map<string, WaitingRequest>();
  #nextIndex = 0;

  constructor(readonly order: WaitingOrder) {}

  get size(): number {
    return this.#waiting.size;
  }

  /** Adds a request, or replaces its entry. */
  set(waiting: WaitingRequest): void {
    this.#waiting.set(waiting.request.attemptId, waiting);
  }

  remove(attemptId: string): void {
    this.#waiting.delete(attemptId);
  }

  /** Requests that wait for a service. */
  ofService(service: string): readonly PlanRequest[] {
    return [...this.#waiting.values()].flatMap(({ request, isFallback }) => {
      return request.service === service && !isFallback ? [request] : [];
    });
  }

  /**
   * Returns the next few requests in serving order, starting over after the last. Of those that
   * `isAdmitted` holds for, the most urgent ones are in every round if others are less urgent.
   */
  nextRound(
    hasPrecedence: RequestCheck,
    isAdmitted: RequestCheck = () => false,
  ): readonly WaitingRequest[] {
    const all = this.#inOrder([...this.#waiting.values()], hasPrecedence);
    const urgent = mostUrgent(all.filter(({ request }) => isAdmitted(request)));
    const rest = urgent.length > 0 ? all.filter((waiting) => !urgent.includes(waiting)) : all;
    const from = this.#nextIndex < rest.length ? this.#nextIndex : 0;
    this.#nextIndex = from + ROUND_SIZE - urgent.length;
    return [...urgent, ...rest.slice(from, this.#nextIndex)];
  }

  /**
   * Number of requests waiting for a permit that are served before `request`, which may be one of
   * them.
   */
  countAhead(request: PlanRequest, hasPrecedence: RequestCheck): number {
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
    hasPrecedence: RequestCheck,
  ): readonly WaitingRequest[] {
    const order = this.order.sort(waiting);
    const isFirst = ({ request }: WaitingRequest) => hasPrecedence(request);
    return [...order.filter(isFirst), ...order.filter((other) => !isFirst(other))];
  }
}
