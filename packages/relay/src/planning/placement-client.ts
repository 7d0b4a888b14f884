import type { Clock, Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import type { PlanAnswer, PlannedStream, PlanRefusal, PlanRequest } from './plan-request.js';
import type { Planner } from './planner.js';
import { AnswerQueue } from './answer-queue.js';
import { WaitLog } from './wait-log.js';

/** What a host knows of a plan when it stops asking. */
export type PlacementOutcome =
  | { readonly kind: 'place'; readonly stream: PlannedStream; readonly planner: string }
  | (PlanRefusal & { readonly planner: string })
  | { readonly kind: 'over' };

/** How other hosts that plan are found and asked. */
export interface PlannerPeers {
  /** Hosts that plan for a service, the first in rank before others; this host may be among them. */
  plannersOf(service: string): readonly string[];
  /** Asks; the answers are heard later, or never. */
  askPlan(planner: string, request: PlanRequest): void;
  /** Tells that a request won't run by a plan. */
  withdrawPlan(planner: string, attemptId: string): void;
}

/** What asking needs. */
export interface PlacementClientParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly host: string;
  readonly peers: PlannerPeers;
  /** Plans where this host is the planner, or no planner answers. */
  readonly planner: Planner;
}

/**
 * Silence after which another host is asked. Answers come within 3 ms on calm days; a busy small
 * host adds some ten.
 */
const ANSWER_TIMEOUT_MS: Milliseconds = 40;
/** A waiting request is told again this often, in case its planner was replaced or forgot it. */
const REPEAT_PERIOD_MS: Milliseconds = 300;
/** Pause before a waiting request looks whether its caller has left. */
const CALLER_CHECK_PERIOD_MS: Milliseconds = 50;
/** A host that did not answer is not asked for this long. */
const UNRESPONSIVE_FOR_MS: Milliseconds = 1000;

/** Asks the host that plans for a service where a stream is to run, and plans here if none answers. */
export class PlacementClient {
  readonly #unresponsiveUntilMs = new Map<string, Milliseconds>();
  readonly #answerQueues = new Map<string, AnswerQueue>();

  constructor(readonly parts: PlacementClientParts) {}

  /** Takes in a planner's answer; one that nobody waits for any more is dropped. */
  onPlanAnswer(attemptId: string, answer: PlanAnswer): void {
    this.#answerQueues.get(attemptId)?.push(answer);
  }

  /** Asks until the stream is placed or refused, or `isOver` holds. */
  async place(request: PlanRequest, isOver: () => boolean): Promise<PlacementOutcome> {
    const answers = new AnswerQueue(this.parts.clock);
    this.#answerQueues.set(request.attemptId, answers);
    const asked = new Set<string>();
    const wait = new WaitLog(this.parts.clock, this.parts.log, request);
    try {
      for (;;) {
        if (isOver()) {
          this.#withdraw(asked, request.attemptId);
          return { kind: 'over' };
        }
        const planner = this.#plannerOf(request.service);
        asked.add(planner);
        this.#ask(planner, request);
        const answer = await answers.next(ANSWER_TIMEOUT_MS);
        if (!answer) this.#onSilent(planner, request);
        if (answer?.kind === 'wait') wait.onWait(answer.rule, planner);
        const decision =
          answer?.kind === 'wait' ? await this.#nextDecision(answers, isOver) : answer;
        if (decision && decision.kind !== 'wait') {
          // Another planner that was asked may count a place for it, or have it wait still.
          asked.delete(planner);
          this.#withdraw(asked, request.attemptId);
          return { ...decision, planner };
        }
      }
    } finally {
      this.#answerQueues.delete(request.attemptId);
    }
  }

  /** Tells the host that plans for a service of a request, and waits for no answer. */
  notify(request: PlanRequest): void {
    this.#ask(this.#plannerOf(request.service), request);
  }

  /** The answer after one to wait; undefined where it is time to ask again or to stop. */
  async #nextDecision(
    answers: AnswerQueue,
    isOver: () => boolean,
  ): Promise<PlanAnswer | undefined> {
    const { clock } = this.parts;
    const untilMs = clock.monotonicMs() + REPEAT_PERIOD_MS;
    while (!isOver() && clock.monotonicMs() < untilMs) {
      const answer = await answers.next(CALLER_CHECK_PERIOD_MS);
      if (answer && answer.kind !== 'wait') return answer;
    }
    return undefined;
  }

  /** The host that plans for a service: the first in rank that answers, or this one. */
  #plannerOf(service: string): string {
    const { clock, host, peers } = this.parts;
    const nowMs = clock.monotonicMs();
    const isUnresponsive = (candidate: string) =>
      (this.#unresponsiveUntilMs.get(candidate) ?? 0) > nowMs;
    return peers.plannersOf(service).find((candidate) => !isUnresponsive(candidate)) ?? host;
  }

  #ask(planner: string, request: PlanRequest): void {
    const { host, peers } = this.parts;
    if (planner !== host) {
      peers.askPlan(planner, request);
      return;
    }
    const isFallback = peers.plannersOf(request.service)[0] !== host;
    const onAnswer = (answer: PlanAnswer) => {
      this.onPlanAnswer(request.attemptId, answer);
    };
    this.parts.planner.submit(request, onAnswer, isFallback);
  }

  #onSilent(planner: string, { requestId, service }: PlanRequest): void {
    const { clock, log } = this.parts;
    this.#unresponsiveUntilMs.set(planner, clock.monotonicMs() + UNRESPONSIVE_FOR_MS);
    log.warn('planner_silent', {
      request: requestId,
      service,
      planner,
      after_ms: ANSWER_TIMEOUT_MS,
      not_asked_for_ms: UNRESPONSIVE_FOR_MS,
    });
  }

  #withdraw(planners: ReadonlySet<string>, attemptId: string): void {
    const { host, peers } = this.parts;
    for (const planner of planners) {
      if (planner === host) this.parts.planner.withdraw(attemptId);
      else peers.withdrawPlan(planner, attemptId);
    }
  }
}
