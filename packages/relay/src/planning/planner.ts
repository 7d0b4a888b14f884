import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, FleetView, LatePromptRule } from '@poppypond/fleet';
import type { ConfigurationInForce } from '@poppypond/routing';
import type { ServerList } from '../store/server-list.js';
import { inAgreedOrder, planEngines } from './plan-engines.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { toAttemptUse } from './planned-use.js';
import { LeastServedFirst } from './waiting-order.js';
import type { WaitingOrder } from './waiting-order.js';

/** Takes a planner's answer. */
export type AnswerListener = (answer: PlanAnswer) => void;

/** What a planner needs. */
export interface PlannerParts {
  readonly clock: Clock;
  readonly inForce: ConfigurationInForce;
  readonly servers: ServerList;
  readonly fleet: FleetView;
  /** Uniform random numbers in [0, 1). */
  readonly draw: () => number;
  /** In which order those that wait are looked at; where there is none, as is best by measure. */
  readonly order?: WaitingOrder;
  /** Decides about long prompts that would be late; where there is none, as is best by measure. */
  readonly lateRule?: LatePromptRule | undefined;
  /** Told of each service for which this host is asked to plan as its planner. */
  readonly onPlanner?: (service: string) => void;
}

interface Waiting {
  readonly request: PlanRequest;
  readonly onAnswer: AnswerListener;
  /** When its host was heard last, on this process's clock. */
  readonly askedAtMs: Milliseconds;
  readonly isAlone: boolean;
}

/** Pause before waiting requests are looked at again. */
const LOOK_AGAIN_MS: Milliseconds = 10;
/**
 * Requests that are looked at together; the others have their turn 10 ms later. One look takes 0.13 ms
 * with 150 engines (the mean of 1,200, beside other work), so 60 that wait would take three quarters
 * of a processor if all were looked at every time, and those that come would wait for it.
 */
const LOOKED_AT_TOGETHER = 16;
/** A waiting request whose host does not ask again for this long is dropped; hosts ask every 300 ms. */
const ASKED_LATELY_MS: Milliseconds = 1000;

/** Decides for hosts where their streams run, and keeps those that must wait. */
export class Planner {
  readonly #waiting = new Map<string, Waiting>();
  readonly #order: WaitingOrder;
  #cancelLook: CancelTimer | undefined;
  #lookedAt = 0;
  /** Hosts that don't know of each other must not all begin with the same engines. */
  readonly #shuffled = (servers: readonly BackendServer[]) =>
    servers
      .map((server) => ({ server, place: this.parts.draw() }))
      .sort((left, right) => left.place - right.place)
      .map(({ server }) => server);

  constructor(readonly parts: PlannerParts) {
    this.#order = parts.order ?? new LeastServedFirst(parts.clock);
  }

  /** Whether this host knows the configuration and the servers. */
  get canPlan(): boolean {
    return this.parts.inForce.table !== undefined && this.parts.servers.isKnown;
  }

  /** Requests that wait here. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /**
   * Takes a request in; `onAnswer` is called now, and once more after `wait`. `isAlone`: this host
   * plans because it found no planner, and may not know what others run.
   */
  submit(request: PlanRequest, onAnswer: AnswerListener, isAlone = false): void {
    const askedAtMs = this.parts.clock.monotonicMs();
    if (!isAlone) this.parts.onPlanner?.(request.service);
    const answer = this.#decide(request, isAlone, askedAtMs);
    if (answer.kind === 'wait') {
      this.#waiting.set(request.attemptId, { request, onAnswer, askedAtMs, isAlone });
      this.#cancelLook ??= this.parts.clock.every(LOOK_AGAIN_MS, () => {
        this.#lookAgain();
      });
    } else {
      this.#waiting.delete(request.attemptId);
    }
    onAnswer(answer);
  }

  /** Forgets a request that waits or was placed, and that won't run by this plan. */
  withdraw(attemptId: string): void {
    const waiting = this.#waiting.get(attemptId);
    if (waiting) this.#drop(waiting.request);
    this.parts.fleet.end(attemptId);
  }

  #drop(request: PlanRequest): void {
    this.#waiting.delete(request.attemptId);
  }

  #lookAgain(): void {
    const nowMs = this.parts.clock.monotonicMs();
    for (const waiting of this.#takeTurn()) {
      const { request, askedAtMs } = waiting;
      const isLeft = nowMs - askedAtMs > ASKED_LATELY_MS || nowMs >= request.limitAtMs;
      if (isLeft) this.#drop(request);
      else this.#lookAgainAt(waiting, nowMs);
    }
    if (this.#waiting.size > 0) return;
    this.#cancelLook?.();
    this.#cancelLook = undefined;
  }

  /** The next few in the order in which they are served, from the first again after the last. */
  #takeTurn(): readonly Waiting[] {
    const all = this.#order.sort([...this.#waiting.values()]);
    const from = this.#lookedAt < all.length ? this.#lookedAt : 0;
    this.#lookedAt = from + LOOKED_AT_TOGETHER;
    return all.slice(from, this.#lookedAt);
  }

  #lookAgainAt({ request, onAnswer, isAlone }: Waiting, nowMs: Milliseconds): void {
    const answer = this.#decide(request, isAlone, nowMs);
    if (answer.kind === 'wait') return;
    this.#waiting.delete(request.attemptId);
    onAnswer(answer);
  }

  #decide(request: PlanRequest, isAlone: boolean, nowMs: Milliseconds): PlanAnswer {
    const { fleet, inForce } = this.parts;
    const figures = inForce.table?.service(request.service)?.engine;
    if (!figures) return { kind: 'refuse', rule: 'no_engine' };
    fleet.end(request.attemptId);
    const order = isAlone ? this.#shuffled : inAgreedOrder;
    const answer = planEngines({ ...this.parts, nowMs }, figures, request, order);
    if (answer.kind === 'wait') return answer;
    if (answer.kind === 'place') {
      fleet.begin(toAttemptUse(request, answer.stream, nowMs));
      this.#order.onPlaced(request, answer.stream);
    }
    return answer;
  }
}
