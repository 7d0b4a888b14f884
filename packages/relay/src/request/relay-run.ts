import { delay, fault, randomId } from '@poppypond/core';
import type { CancelTimer, Fault, Milliseconds } from '@poppypond/core';
import { decideRetry } from '@poppypond/fleet';
import type { AttemptFailure, BackendServer, StreamPlacement } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EventFrame } from '../backend/event-frames.js';
import { HeldMemory } from '../backend/held-memory.js';
import { ServerAttempt } from '../backend/server-attempt.js';
import type { AttemptEnd } from '../backend/server-attempt.js';
import type { AnswerHead, CallerHead, ReaderAddress } from '../ports.js';
import type { Admitted } from './admit.js';
import type { CallerAnswer } from './caller-answer.js';
import { chooseEngine, choosePlainServer } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';

/** A server that is to be tried, and how it was chosen. */
interface Choice {
  readonly server: BackendServer;
  /** Undefined for plain services. */
  readonly placement: StreamPlacement | undefined;
  /** Memory on other engines; undefined where none is needed. */
  readonly held: HeldMemory | undefined;
}

/** What is known while one attempt runs. */
interface RunningAttempt {
  readonly id: string;
  readonly choice: Choice;
  readonly attempt: ServerAttempt;
  readonly startedAtMs: Milliseconds;
  hasEvents: boolean;
}

/** Pause before a waiting request looks for engines again. */
const LOOK_AGAIN_MS: Milliseconds = 10;
/** A server's own word that time is up may take this long to come back. */
const LIMIT_SLACK_MS: Milliseconds = 20;
/** Silence beyond the expected first event after which another engine is tried. */
const FIRST_EVENT_SLACK_MS: Milliseconds = 900;
/** Long reads wait behind others that were not foreseen; reading anew would make that worse. */
const FIRST_EVENT_FACTOR = 3;
/** Silence between events after which another engine is tried: callers leave at about twice that. */
const SHORTEST_STALL_MS: Milliseconds = 1200;
/** The same, as a multiple of the pause that the route aims at. */
const STALL_GAPS = 3;
/** Share of the time limit after which a plain call that may be repeated is tried elsewhere. */
const CALL_PATIENCE_SHARE = 0.45;
/** A server that failed to answer is avoided for this long. */
const SUSPECT_MS: Milliseconds = 1500;
/** When to come back after a refusal for want of a server. */
const REFUSED_RETRY_MS: Milliseconds = 250;
/** Reads shorter than this end before peers could make use of knowing so. */
const TOLD_READ_MS: Milliseconds = 60;
const LONG_PROMPT_TOKENS = 100_000;
const MIDDLE_PROMPT_TOKENS = 20_000;
const SERVER_ERROR_FROM = 500;
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const MISDIRECTED = 421;

/** Coarse size of a prompt, as a label of bounded values. */
export function sizeLabel(promptTokens: number): 'short' | 'middle' | 'long' {
  if (promptTokens >= LONG_PROMPT_TOKENS) return 'long';
  return promptTokens >= MIDDLE_PROMPT_TOKENS ? 'middle' : 'short';
}

/** The life of one admitted request: attempts, their order, and the one answer. */
export class RelayRun {
  readonly #route: Route;
  readonly #limitAtMs: Milliseconds;
  readonly #failedIds = new Set<string>();
  #attemptsSent = 0;
  #attemptsNotSent = 0;
  #lastEventId: number | undefined;
  #firstHead: AnswerHead | undefined;
  #current: RunningAttempt | undefined;
  #cancelSilence: CancelTimer = () => undefined;
  #lastEventAtMs: Milliseconds;
  #isTimeUp = false;
  /** An attempt whose answer can't be awaited any longer may have run the request. */
  #mayHaveRun = false;

  constructor(
    readonly parts: RelayParts,
    readonly caller: CallerHead,
    readonly admitted: Admitted,
    readonly body: Buffer,
    readonly answer: CallerAnswer,
    readonly arrivedAtMs: Milliseconds,
  ) {
    this.#route = admitted.route;
    const waitsMs = Math.min(caller.waitsMs ?? Number.POSITIVE_INFINITY, this.#route.timeoutMs);
    this.#limitAtMs = arrivedAtMs + waitsMs;
    this.#lastEventId = caller.lastEventId;
    this.#lastEventAtMs = arrivedAtMs;
  }

  /** Serves the request; resolves when its answer is over. */
  async run(): Promise<void> {
    const { clock, budget } = this.parts;
    budget.onRequest(this.admitted.service);
    const cancelLimit = clock.after(this.#leftMs() + LIMIT_SLACK_MS, () => {
      this.#onTimeUp();
    });
    this.answer.onGone(() => {
      this.#current?.attempt.cancel();
    });
    this.answer.onDrain(() => {
      this.#current?.attempt.resume();
    });
    try {
      await this.#tryServers();
    } finally {
      if (this.parts.queue.find(this.caller.requestId))
        this.parts.peers.unwait(this.caller.requestId);
      cancelLimit();
      this.#cancelSilence();
    }
  }

  async #tryServers(): Promise<void> {
    for (;;) {
      const choice = await this.#choose();
      if (!choice) return;
      const end = await this.#attempt(choice);
      if (this.#finishWith(end, choice)) return;
    }
  }

  get #mayRepeat(): boolean {
    return (
      this.#route.kind === 'safe' || (this.#route.kind === 'stream' && this.#route.isResumable)
    );
  }

  #leftMs(): Milliseconds {
    return this.#limitAtMs - this.parts.clock.monotonicMs();
  }

  /** Waits for a server if need be; undefined when the request has been answered or given up. */
  async #choose(): Promise<Choice | undefined> {
    for (;;) {
      if (this.#isOver()) return undefined;
      const { figures, service } = this.admitted;
      if (!figures) {
        const server = choosePlainServer(this.parts, service, this.#failedIds);
        if (server) return { server, placement: undefined, held: undefined };
        this.#giveUp(this.#notRunFault('no server of the service is listed'));
        return undefined;
      }
      const { promptTokens, answerTokens, requestId } = this.caller;
      const { arrivedAtMs } = this;
      const timeLeftMs = this.#leftMs();
      const { aimMs } = this.#route;
      const needs = { requestId, arrivedAtMs, promptTokens, answerTokens, aimMs, timeLeftMs };
      const plan = chooseEngine(this.parts, service, figures, needs, this.#failedIds);
      if (plan.kind === 'place') {
        const choice = { server: plan.writer.server, placement: plan };
        if (plan.shares.length === 0) return { ...choice, held: undefined };
        const held = await this.#hold(plan);
        if (held) return { ...choice, held };
      }
      if (plan.kind === 'refuse') {
        this.#giveUp(this.#notRunFault(plan.rule));
        return undefined;
      }
      await delay(this.parts.clock, LOOK_AGAIN_MS);
    }
  }

  /** Holds memory on the engines that share the prompt; undefined where one had none. */
  #hold({ shares }: StreamPlacement): Promise<HeldMemory | undefined> {
    const needs = shares.map(({ engine, tokens }) => ({ server: engine.server, tokens }));
    return HeldMemory.take(this.parts, randomId(), this.caller.requestId, needs);
  }

  /** Answers where the time is up; true where nothing is left to do. */
  #isOver(): boolean {
    if (this.answer.isGone) {
      this.#logAnswer(this.#mayHaveRun ? 'cancelled_running' : 'cancelled_waiting', 0);
      return true;
    }
    if (!this.#isTimeUp && this.#leftMs() > 0) return false;
    const detail = 'the time limit passed';
    this.#giveUp(this.#mayHaveRun ? fault('time_limit', detail) : this.#notRunFault(detail));
    return true;
  }

  async #attempt(choice: Choice): Promise<AttemptEnd> {
    const { clock, wire, measures } = this.parts;
    const id = randomId();
    this.#logPlaced(id, choice);
    const timeLeftMs = Math.max(1, Math.floor(this.#leftMs()));
    const head = {
      server: choice.server,
      timeLeftMs,
      workspace: this.admitted.workspace,
      lastEventId: this.#lastEventId,
      readers: this.#readersOf(choice),
      bodyLength: this.body.length,
    };
    this.#announce(id, choice, timeLeftMs);
    const attempt = new ServerAttempt(
      {
        server: choice.server,
        method: this.caller.method,
        path: this.caller.path,
        headers: wire.attemptHeaders(this.caller, head),
        body: this.body,
        requestId: this.caller.requestId,
        wantsEvents: this.#route.kind === 'stream',
      },
      {
        clock,
        readAnswer: (message) => wire.readAnswer(message),
        onFrames: (frames, answerHead) => this.#onFrames(frames, answerHead),
      },
    );
    const startedAtMs = clock.monotonicMs();
    this.#current = { id, choice, attempt, startedAtMs, hasEvents: false };
    this.#watchSilence(this.#firstPatienceMs(choice));
    const end = await attempt.done;
    this.#current = undefined;
    this.#cancelSilence();
    this.parts.peers.end(id);
    void choice.held?.release();
    measures.count('poppypond_attempts_total', { kind: this.#route.kind, end: end.kind });
    return end;
  }

  #readersOf({ placement, held }: Choice): readonly ReaderAddress[] {
    const sharing = new Set(placement?.shares.map(({ engine }) => engine.server.id));
    return (placement?.readers ?? []).map(({ server: { id, address, port } }) => {
      const reservation = sharing.has(id) ? held?.id : undefined;
      return { address, port, reservation };
    });
  }

  #announce(id: string, choice: Choice, timeLeftMs: Milliseconds): void {
    const nowMs = this.parts.clock.monotonicMs();
    const { placement, server } = choice;
    const shares = placement?.shares ?? [];
    const sharedTokens = shares.reduce((sum, { tokens }) => sum + tokens, 0);
    this.parts.peers.begin(this.caller.requestId, {
      attemptId: id,
      host: this.parts.host,
      writerId: server.id,
      readerIds: (placement?.readers ?? []).map((load) => load.server.id),
      partMs: placement?.partMs ?? 0,
      contextTokens: this.caller.promptTokens + this.caller.answerTokens - sharedTokens,
      held: shares.map(({ engine, tokens }) => ({ engineId: engine.server.id, tokens })),
      gapAimMs: this.#route.gapAimMs,
      isReading: placement !== undefined,
      placedAtMs: nowMs,
      expiresAtMs: nowMs + timeLeftMs + LIMIT_SLACK_MS,
    });
  }

  #firstPatienceMs({ placement }: Choice): Milliseconds {
    if (!placement) return this.#leftMs() * CALL_PATIENCE_SHARE;
    return placement.expectedFirstMs * FIRST_EVENT_FACTOR + FIRST_EVENT_SLACK_MS;
  }

  /** Tries another server when this one stays silent, if one more may be tried. */
  #watchSilence(patienceMs: Milliseconds): void {
    this.#cancelSilence();
    if (!this.#mayRepeat) return;
    this.#cancelSilence = this.parts.clock.after(patienceMs, () => {
      const running = this.#current;
      if (!running || !this.#retry('unknown', 1)) return;
      this.#suspect(running.choice.server, 'silent');
      this.#failedIds.add(running.choice.server.id);
      this.#silenced = true;
      running.attempt.cancel();
    });
  }

  #silenced = false;

  #onFrames(frames: readonly EventFrame[], head: AnswerHead): boolean {
    const running = this.#current;
    if (!running || this.answer.isGone) return true;
    if (!running.hasEvents) this.#onFirstEvent(running);
    this.#firstHead ??= head;
    const nowMs = this.parts.clock.monotonicMs();
    const size = sizeLabel(this.caller.promptTokens);
    this.parts.measures.observe('poppypond_event_gap_milliseconds', nowMs - this.#lastEventAtMs, {
      size,
    });
    this.#lastEventAtMs = nowMs;
    const fresh = frames.filter((frame) => this.#isNext(frame));
    this.#watchSilence(Math.max(SHORTEST_STALL_MS, this.#route.gapAimMs * STALL_GAPS));
    if (fresh.length === 0) return true;
    return this.answer.writeEvents(this.#firstHead, Buffer.concat(fresh.map(({ bytes }) => bytes)));
  }

  #isNext({ id }: EventFrame): boolean {
    if (id === undefined) return true;
    if (this.#lastEventId !== undefined && id <= this.#lastEventId) return false;
    this.#lastEventId = id;
    return true;
  }

  #onFirstEvent(running: RunningAttempt): void {
    running.hasEvents = true;
    const { clock, fleet, measures, peers } = this.parts;
    const partMs = running.choice.placement?.partMs ?? 0;
    peers.onReadDone(running.id, partMs >= TOLD_READ_MS);
    fleet.trust(running.choice.server.id);
    const sinceArrivalMs = clock.monotonicMs() - this.arrivedAtMs;
    const size = sizeLabel(this.caller.promptTokens);
    measures.observe('poppypond_first_event_milliseconds', sinceArrivalMs, { size });
    this.parts.log.info('first_event', {
      request: this.caller.requestId,
      attempt: running.id,
      server: running.choice.server.id,
      after_ms: Math.round(sinceArrivalMs),
      took_ms: Math.round(clock.monotonicMs() - running.startedAtMs),
      expected_ms: Math.round(running.choice.placement?.expectedFirstMs ?? 0),
    });
  }

  /** Takes in the end of an attempt; true when the answer is over. */
  #finishWith(end: AttemptEnd, choice: Choice): boolean {
    if (end.kind === 'events_done') {
      this.#attemptsSent += 1;
      this.answer.endEvents(this.#firstHead);
      this.#logAnswer('ok', this.#firstHead?.status ?? 0);
      return true;
    }
    if (end.kind === 'whole') return this.#finishWhole(end.head, end.body, choice);
    if (end.kind === 'cancelled') return this.#finishCancelled();
    const failure = end.kind === 'not_sent' ? 'not_sent' : 'unknown';
    this.#suspect(choice.server, end.detail);
    return this.#finishFailed(failure, choice, end.detail);
  }

  #finishCancelled(): boolean {
    this.#attemptsSent += 1;
    this.#mayHaveRun = true;
    if (this.#silenced) {
      this.#silenced = false;
      return false;
    }
    this.#isOver();
    return true;
  }

  #finishWhole(head: AnswerHead, body: Buffer, choice: Choice): boolean {
    if (head.isNotRun) {
      if (head.status === MISDIRECTED) this.parts.servers.onGone(choice.server.id);
      return this.#finishFailed('not_run', choice, `refused with ${String(head.status)}`);
    }
    const isPromise = PROMISE_STATUSES.has(head.status);
    if (isPromise) return this.#finishFailed('unknown', choice, `status ${String(head.status)}`);
    if (head.status < SERVER_ERROR_FROM) {
      this.#attemptsSent += 1;
      this.#passOn(head, body);
      return true;
    }
    if (this.#noteFailure('failed', choice, `status ${String(head.status)}`)) return false;
    this.#passOn(head, body);
    return true;
  }

  #passOn(head: AnswerHead, body: Buffer): void {
    if (this.answer.isBegun) {
      this.answer.breakOff();
    } else {
      this.answer.sendWhole(head, body);
    }
    this.#logAnswer(head.status < SERVER_ERROR_FROM ? 'ok' : 'backend_error', head.status);
  }

  #finishFailed(failure: AttemptFailure, choice: Choice, detail: string): boolean {
    if (this.answer.isGone) return this.#isOver();
    if (this.#noteFailure(failure, choice, detail)) return false;
    if (this.#mayHaveRun) this.#giveUp(fault('outcome_unknown', detail));
    else this.#giveUp(this.#notRunFault(detail));
    return true;
  }

  /** Counts and logs a failed attempt; true where another follows. */
  #noteFailure(failure: AttemptFailure, choice: Choice, detail: string): boolean {
    if (failure === 'not_sent') this.#attemptsNotSent += 1;
    else this.#attemptsSent += 1;
    if (failure === 'unknown' || failure === 'failed') this.#mayHaveRun = true;
    this.#failedIds.add(choice.server.id);
    const again = this.#retry(failure, 0);
    this.parts.log.warn('attempt_failed', {
      request: this.caller.requestId,
      server: choice.server.id,
      failure,
      why: detail,
      events: this.#lastEventId,
      again,
    });
    return again;
  }

  #retry(failure: AttemptFailure, sentMore: number): boolean {
    const decision = decideRetry({
      failure,
      mayRepeat: this.#mayRepeat,
      attemptsSent: this.#attemptsSent + sentMore,
      attemptsNotSent: this.#attemptsNotSent,
      maxAttempts: this.#route.maxAttempts,
      timeLeftMs: this.#leftMs(),
      takeRetry: () => this.parts.budget.tryTake(this.admitted.service),
    });
    if (!decision.again) {
      this.parts.measures.count('poppypond_retries_refused_total', { why: decision.why });
      this.parts.log.warn('retry_refused', {
        request: this.caller.requestId,
        failure,
        why: decision.why,
        attempts: this.#attemptsSent + sentMore,
        most: this.#route.maxAttempts,
        left_ms: Math.round(this.#leftMs()),
      });
    }
    return decision.again;
  }

  #suspect(server: BackendServer, why: string): void {
    this.parts.peers.suspect(server.id, SUSPECT_MS);
    this.parts.log.warn('server_suspect', {
      request: this.caller.requestId,
      server: server.id,
      why,
      for_ms: SUSPECT_MS,
    });
  }

  #onTimeUp(): void {
    this.#isTimeUp = true;
    this.#current?.attempt.cancel();
  }

  #notRunFault(detail: string): Fault {
    return fault('no_backend', detail, { retryAfterMs: REFUSED_RETRY_MS });
  }

  #giveUp(reason: Fault): void {
    if (this.answer.isGone) return;
    if (this.answer.isBegun) this.answer.breakOff();
    else this.answer.refuse(reason);
    this.#logAnswer(reason.code, 0, reason.detail);
  }

  #logPlaced(id: string, { server, placement }: Choice): void {
    const nowMs = this.parts.clock.monotonicMs();
    if (placement)
      this.parts.measures.count('poppypond_placements_total', { rule: placement.rule });
    this.parts.log.info('placed', {
      request: this.caller.requestId,
      attempt: id,
      route: this.#route.name,
      service: this.admitted.service,
      workspace: this.admitted.workspace,
      configuration: this.admitted.configurationVersion,
      configuration_age_ms: Math.round(this.parts.freshness.ageMs()),
      server: server.id,
      rule: placement?.rule ?? 'least_outstanding',
      tokens: this.caller.promptTokens,
      waited_ms: Math.round(nowMs - this.arrivedAtMs),
      left_ms: Math.round(this.#leftMs()),
      writers: placement?.writer.writers,
      reading_ms: placement && Math.round(placement.writer.pendingReadMs),
      parts: placement && placement.readers.length + 1,
      part_ms: placement && Math.round(placement.partMs),
    });
  }

  #logAnswer(code: string, status: number, why?: string): void {
    const { clock, log, measures } = this.parts;
    const tookMs = clock.monotonicMs() - this.arrivedAtMs;
    const { kind } = this.#route;
    measures.count('poppypond_requests_total', { kind, code });
    if (kind !== 'stream') measures.observe('poppypond_call_milliseconds', tookMs, { kind });
    const line = {
      request: this.caller.requestId,
      code,
      status: status || undefined,
      why,
      route: this.#route.name,
      took_ms: Math.round(tookMs),
      attempts: this.#attemptsSent,
      not_sent: this.#attemptsNotSent,
      last_event: this.#lastEventId,
    };
    if (code === 'ok') log.info('answered', line);
    else log.warn('answered', line);
  }
}
