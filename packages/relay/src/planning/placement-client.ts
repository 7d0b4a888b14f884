import type { Clock, Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import type { PlanAnswer, PlannedStream, PlanRefusal, PlanRequest } from './plan-request.js';
import type { Planner } from './planner.js';
import { AnswerQueue } from './answer-queue.js';
import { LocalRefusals } from './local-refusals.js';
import { WaitLog } from './wait-log.js';

/** Result of asking for a placement. */
export type PlacementOutcome =
  | { readonly kind: 'place'; readonly stream: PlannedStream; readonly planner: string }
  | (PlanRefusal & { readonly planner: string })
  | { readonly kind: 'over' };

/** A planner that did not answer in time. */
interface PlannerSilence {
  readonly atMs: Milliseconds;
  /** Whether it followed another silence within `UNRESPONSIVE_FOR_MS`. */
  readonly isRepeated: boolean;
}

/** Finds and contacts the hosts that plan. */
export interface PlannerPeers {
  /** Hosts that plan for a service, highest rank first; may include this host. */
  plannersOf(service: string): readonly string[];
  /** Sends a request to a planner; the answer arrives later, or never. */
  askPlan(planner: string, request: PlanRequest): void;
  /** Tells a planner that a request will not run by its plan. */
  withdrawPlan(planner: string, attemptId: string): void;
}

/** Dependencies of PlacementClient. */
export interface PlacementClientParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly host: string;
  readonly peers: PlannerPeers;
  /** Plans if this host is the planner, or if no planner answers. */
  readonly planner: Planner;
}

/**
 * Silence after which another host is asked. Answers usually arrive within 3 ms; a busy small host
 * adds about 10 ms.
 */
const ANSWER_TIMEOUT_MS: Milliseconds = 40;
/** Period at which a waiting request is sent again, in case its planner was replaced or lost it. */
const REPEAT_PERIOD_MS: Milliseconds = 300;
/** Interval at which a waiting request checks whether its caller has disconnected. */
const CALLER_CHECK_PERIOD_MS: Milliseconds = 50;
/** A host that did not answer is not asked again for this long. */
const UNRESPONSIVE_FOR_MS: Milliseconds = 1000;

/**
 * Asks the planner of a service where a stream is to run; plans on this host if no planner answers.
 */
export class PlacementClient {
  readonly #unresponsiveUntilMs = new Map<string, Milliseconds>();
  /** The last silence of each planner. */
  readonly #silences = new Map<string, PlannerSilence>();
  readonly #answerQueues = new Map<string, AnswerQueue>();
  readonly #localRefusals = new LocalRefusals();

  constructor(readonly parts: PlacementClientParts) {}

  /** Delivers the answer of `planner`; ignored if its request no longer waits. */
  onPlanAnswer(attemptId: string, answer: PlanAnswer, planner: string): void {
    if (this.#isUnresponsive(planner)) this.#onLateAnswer(planner);
    this.#answerQueues.get(attemptId)?.push(answer);
  }

  /** Asks until the stream is placed or refused, or until `isOver` returns true. */
  async place(wanted: PlanRequest, isOver: () => boolean): Promise<PlacementOutcome> {
    const { clock } = this.parts;
    const refusal = this.#localRefusals.find(wanted, clock.monotonicMs());
    if (refusal) return { ...refusal, planner: this.#plannerOf(wanted.service) };
    const refusedLocally = this.#localRefusals.takeCount(wanted);
    const request = refusedLocally === undefined ? wanted : { ...wanted, refusedLocally };
    const answers = new AnswerQueue(this.parts.clock);
    this.#answerQueues.set(request.attemptId, answers);
    const askedPlanners = new Set<string>();
    const wait = new WaitLog(this.parts.clock, this.parts.log, request);
    try {
      for (;;) {
        if (isOver()) {
          this.#withdraw(askedPlanners, request.attemptId);
          return { kind: 'over' };
        }
        const planner = this.#plannerOf(request.service);
        askedPlanners.add(planner);
        this.#ask(planner, request);
        const answer = await answers.next(ANSWER_TIMEOUT_MS);
        if (!answer) this.#onSilent(planner, request);
        if (answer?.kind === 'wait') wait.onWait(answer.rule, planner);
        const decision =
          answer?.kind === 'wait' ? await this.#nextDecision(answers, isOver) : answer;
        if (decision && decision.kind !== 'wait') {
          // Other planners that were asked may count a slot for this request, or keep it waiting.
          askedPlanners.delete(planner);
          this.#withdraw(askedPlanners, request.attemptId);
          if (decision.kind === 'refuse')
            this.#localRefusals.onRefusal(request, decision, clock.monotonicMs());
          return { ...decision, planner };
        }
      }
    } finally {
      this.#answerQueues.delete(request.attemptId);
    }
  }

  /** Sends a request to the planner of its service without waiting for an answer. */
  notify(request: PlanRequest): void {
    this.#ask(this.#plannerOf(request.service), request);
  }

  /** Returns the answer that follows `wait`; undefined when it is time to ask again or to stop. */
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

  /** The planner of a service: the highest-ranked host that answers, or this one. */
  #plannerOf(service: string): string {
    const { host, peers } = this.parts;
    return peers.plannersOf(service).find((other) => !this.#isUnresponsive(other)) ?? host;
  }

  #isUnresponsive(planner: string): boolean {
    return (this.#unresponsiveUntilMs.get(planner) ?? 0) > this.parts.clock.monotonicMs();
  }

  #ask(planner: string, request: PlanRequest): void {
    const { host, peers } = this.parts;
    if (planner !== host) {
      peers.askPlan(planner, request);
      return;
    }
    const isFallback = peers.plannersOf(request.service)[0] !== host;
    const onAnswer = (answer: PlanAnswer) => {
      this.onPlanAnswer(request.attemptId, answer, host);
    };
    this.parts.planner.submit(request, onAnswer, isFallback);
  }

  #onSilent(planner: string, { requestId, service }: PlanRequest): void {
    const { clock, log } = this.parts;
    const atMs = clock.monotonicMs();
    const lastAtMs = this.#silences.get(planner)?.atMs ?? Number.NEGATIVE_INFINITY;
    const isRepeated = atMs - lastAtMs < UNRESPONSIVE_FOR_MS;
    this.#unresponsiveUntilMs.set(planner, atMs + UNRESPONSIVE_FOR_MS);
    this.#silences.set(planner, { atMs, isRepeated });
    log.warn('planner_silent', {
      request: requestId,
      service,
      planner,
      after_ms: ANSWER_TIMEOUT_MS,
      not_asked_for_ms: UNRESPONSIVE_FOR_MS,
    });
  }

  /** Asks a planner again that answers late; one that stays slow would delay each request. */
  #onLateAnswer(planner: string): void {
    const silence = this.#silences.get(planner);
    if (!silence) return;
    const { clock, log } = this.parts;
    const lateMs = Math.round(clock.monotonicMs() - silence.atMs);
    const isAsked = !silence.isRepeated;
    if (isAsked) this.#unresponsiveUntilMs.delete(planner);
    const after_ms = ANSWER_TIMEOUT_MS + lateMs;
    log.warn('planner_late', { planner, after_ms, is_asked: isAsked });
  }

  #withdraw(planners: ReadonlySet<string>, attemptId: string): void {
    const { host, peers } = this.parts;
    for (const planner of planners) {
      if (planner === host) this.parts.planner.withdraw(attemptId);
      else peers.withdrawPlan(planner, attemptId);
    }
  }
}
