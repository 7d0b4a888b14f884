import type { AttemptEnd } from '@poppypond/backend';
import { fault, outcomeOf, formatOwner } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { requestCost } from '@poppypond/policy';
import type { Charge, PlacementJob } from '@poppypond/policy';
import { match, P } from 'ts-pattern';
import type { PlacementOutcome } from '../engines/dispatcher.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import type { TerminationDetector } from '../quarantine/host-quarantine.js';
import type { CompletionResponse } from './completion-response.js';
import { CompletionRecorder } from './completion-recorder.js';
import type { AdmittedRequest } from './completion-request.js';
import type { PlacedEngine, RunContext } from './run-context.js';

/** How a request proceeds after an attempt. */
type NextStep = 'finished' | 'again' | Fault;

/**
 * Reason of a refusal by an engine without enough free memory. The engine is healthy and has not
 * run the request.
 */
const NO_MEMORY = 'no_memory';
const RETRY_AFTER_MS: Milliseconds = 1000;

/**
 * Runs one admitted request: queues and places it, streams its response and retries failed
 * attempts. The request ends exactly once, within its time limit.
 */
export class CompletionRun<Context extends RunContext = RunContext> {
  #nextToken: number;
  #hasRun = false;
  /** Attempts that were sent to an engine and have not ended. */
  #attemptsInFlight = 0;
  #isEnded = false;
  #attemptCount = 0;
  #actualPromptTokens: number | undefined;
  readonly #avoidedEngines = new Set<string>();
  /** What the request waits for: the detail of the fault if its time limit expires first. */
  #waitReason = '';
  readonly #abort = new AbortController();
  /** Tracks engines that terminate while running this request. */
  readonly ends: TerminationDetector;
  readonly #completionRecorder: CompletionRecorder;

  constructor(
    readonly context: Context,
    readonly request: AdmittedRequest,
    readonly answer: CompletionResponse,
    readonly recorder: DecisionRecorder,
  ) {
    this.#nextToken = request.headers.resume?.offset ?? 0;
    this.#completionRecorder = new CompletionRecorder(context, request, recorder);
    const head = [request.caller.workspace, request.body.model];
    this.ends = context.quarantine.track({ head, body: request.bytes });
  }

  /** Index of the next token to send to the caller. */
  get nextToken(): number {
    return this.#nextToken;
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get remainingMs(): number {
    return this.request.deadlineMs - this.context.clock.monotonicMs();
  }

  /** Returns a new attempt number. Frames of attempts with a lower number are dropped. */
  nextAttemptNumber(): number {
    this.#attemptCount += 1;
    return this.#attemptCount;
  }

  /** Sets what the request waits for; empty if it does not wait. */
  setWaitReason(what: string): void {
    this.#waitReason = what;
  }

  onEngineStarted(): void {
    this.#hasRun = true;
  }

  /**
   * Tracks an attempt until it ends. An engine may run the attempt before its acceptance arrives
   * here, so only the end of the attempt can confirm that it was not run.
   */
  async trackAttempt(attempt: Promise<AttemptEnd>): Promise<AttemptEnd> {
    this.#attemptsInFlight += 1;
    const end = await attempt;
    this.#attemptsInFlight -= 1;
    if (end.kind === 'cut') this.#hasRun = true;
    return end;
  }

  get #mayHaveRun(): boolean {
    return this.#hasRun || this.#attemptsInFlight > 0;
  }

  /** Ends the request and cancels its attempt, as the caller has closed the connection. */
  onCallerDisconnected(): void {
    this.#fail(fault(this.#mayHaveRun ? 'cancelled_running' : 'cancelled_waiting', ''));
    this.#abort.abort();
  }

  /** Runs the request to its end, on several engines with `runGroup` if its prompt needs them. */
  async run(charge: Charge, runGroup?: () => Promise<'finished' | Fault>): Promise<void> {
    const { clock } = this.context;
    const cancelTimer = clock.after(Math.max(0, this.remainingMs), () => {
      const code = this.#mayHaveRun ? 'time_limit' : 'wait_expired';
      this.#fail(fault(code, this.#waitReason, this.#ruleField()));
      this.#abort.abort();
    });
    this.context.retries.onFirstAttempt();
    const result = runGroup ? await runGroup() : await this.#runOnEngines();
    cancelTimer();
    if (result === 'finished') this.#finish();
    else this.#fail(result);
    this.#settle(charge);
  }

  async #runOnEngines(): Promise<'finished' | Fault> {
    for (;;) {
      const held = this.ends.checkHold();
      if (held) return held;
      const placed = await this.context.dispatcher.place({
        job: this.#placementJob(),
        pools: this.request.pools,
        model: this.request.body.model,
        workspace: this.request.caller.workspace,
        weight: this.context.weightOf(this.request.caller.workspace),
        rule: this.request.rule,
        maxQueuedTokens: this.request.resolution.rule.object.spec.maxQueuedTokens,
        maxWaitMs: Math.min(this.request.resolution.rule.object.spec.maxWaitMs, this.remainingMs),
        avoidedEngines: this.#avoidedEngines,
        signal: this.signal,
      });
      if (placed.isErr) return placed.error;
      this.#completionRecorder.placed(placed.value, this.remainingMs);
      this.ends.begin();
      const end = await this.#runAttempt(placed.value);
      const { name, url } = placed.value.engine;
      if (end.kind === 'cut') await this.ends.onResponseCut(name, url);
      const next = this.#handleAttemptEnd(placed.value, end);
      if (next !== 'again') return next;
    }
  }

  #placementJob(): PlacementJob {
    const { request, context } = this;
    return {
      promptTokens: request.promptTokens + this.#nextToken,
      outputTokens: request.body.maxTokens - this.#nextToken,
      priority: request.priority,
      lane: request.lane,
      zone: context.zone,
      cachedTokens: (engineId) => context.cachedTokens(engineId, request.prefix),
    };
  }

  async #runAttempt(placed: PlacementOutcome): Promise<AttemptEnd> {
    const { context, request } = this;
    const { engine, dispatch } = placed;
    let isFirst = true;
    const attempt = context.runAttempt(
      {
        engineUrl: engine.url,
        requestId: request.id,
        attempt: this.nextAttemptNumber(),
        owner: formatOwner(context.owner),
        dispatch,
        priority: request.priority,
        timeRemainingMs: this.remainingMs,
        resumeOffset: this.#nextToken,
        maxTokens: request.body.maxTokens,
        body: request.bytes,
        mayWaitInEngine: !context.usesLateBinding,
      },
      {
        onAccepted: ({ promptTokens }) => {
          this.onEngineStarted();
          this.#actualPromptTokens = promptTokens;
        },
        onToken: (index, text) => {
          if (isFirst) engine.load.onFirstToken(dispatch, context.clock.monotonicMs());
          isFirst = false;
          this.onToken(index, text);
        },
      },
      this.signal,
    );
    const end = await this.trackAttempt(attempt);
    engine.load.onEnd(dispatch);
    return end;
  }

  /** Sends a token to the caller, unless the caller has it already or the request has ended. */
  onToken(index: number, text: string): void {
    if (this.#isEnded || index !== this.#nextToken) return;
    if (index === (this.request.headers.resume?.offset ?? 0)) this.#completionRecorder.firstToken();
    this.#nextToken += 1;
    this.answer.token(index, text);
  }

  #handleAttemptEnd({ engine }: PlacementOutcome, end: AttemptEnd): NextStep {
    const { health } = engine;
    return match(end)
      .returnType<NextStep>()
      .with({ kind: 'done' }, () => {
        health.onSuccess();
        this.ends.onServed();
        return 'finished';
      })
      .with({ kind: 'cancelled' }, () => {
        health.onInconclusiveEnd();
        return fault('cancelled_running', '');
      })
      .with({ kind: 'time_limit' }, () => {
        health.onInconclusiveEnd();
        return fault('time_limit', '', this.#ruleField());
      })
      .with({ kind: 'refused', reason: NO_MEMORY }, () => {
        health.onInconclusiveEnd();
        this.#avoidedEngines.add(engine.name);
        return 'again';
      })
      .with({ kind: 'refused', reason: P.string }, ({ reason, backoffMs }) => {
        if (backoffMs !== undefined)
          health.onBackoffRequested(backoffMs, this.context.clock.monotonicMs());
        this.#onEngineFailure(engine);
        return this.#retryOrFail(engine.name, reason);
      })
      .with({ kind: P.union('not_sent', 'cut') }, ({ detail }) => {
        this.#onEngineFailure(engine);
        return this.#retryOrFail(engine.name, detail);
      })
      .exhaustive();
  }

  #onEngineFailure({ health, name }: PlacedEngine): void {
    if (health.onFailure(this.context.clock.monotonicMs()))
      this.#completionRecorder.serverEjected(name);
  }

  #retryOrFail(engine: string, why: string): NextStep {
    this.#avoidedEngines.add(engine);
    const again = this.context.retries.tryTake();
    this.#completionRecorder.retry({ engine, why, token: this.#nextToken }, again);
    if (again) return 'again';
    return fault('retries_spent', why, { ...this.#ruleField(), retryAfterMs: RETRY_AFTER_MS });
  }

  /** Records that an engine failed to run its part of a group. */
  recordGroupPartFailure(engine: string, end: AttemptEnd): void {
    this.#completionRecorder.groupPartFailed(engine, end);
  }

  #ruleField(): { readonly rule: string } {
    return { rule: this.request.rule };
  }

  #finish(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const { promptTokens, body } = this.request;
    this.answer.finish({
      promptTokens: this.#actualPromptTokens ?? promptTokens,
      outputTokens: body.maxTokens,
    });
    this.#recordEnd('ok', '');
  }

  /**
   * Ends the request with a fault. If an engine may have run any part of it, a fault that means
   * `not_run` is replaced by `incomplete`.
   */
  #fail(cause: Fault): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const isOutcomeUncertain = this.#mayHaveRun && outcomeOf(cause.code) === 'not_run';
    const end = isOutcomeUncertain
      ? fault('incomplete', `${cause.code}: ${cause.detail}`, this.#ruleField())
      : cause;
    this.answer.fail(end);
    this.#recordEnd(end.code, end.detail);
  }

  #recordEnd(code: string, detail: string): void {
    this.#completionRecorder.ended(code, detail, {
      attempts: this.#attemptCount,
      tokens: this.#nextToken,
    });
  }

  #settle(charge: Charge): void {
    const { context, request } = this;
    const offset = request.headers.resume?.offset ?? 0;
    const prompt = this.#actualPromptTokens ?? (this.#hasRun ? request.promptTokens : 0);
    const actualUnits = requestCost(prompt, this.#nextToken - offset);
    context.settle(charge, actualUnits);
    if (this.#actualPromptTokens === undefined) return;
    const { estimatedTokens } = request.body;
    context.correction.observe(request.className, estimatedTokens, this.#actualPromptTokens);
  }
}
