import type { AttemptEnd } from '@poppypond/backend';
import { fault, outcomeOf, formatOwner } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { requestCost } from '@poppypond/policy';
import type { Charge, PlacementJob } from '@poppypond/policy';
import { match, P } from 'ts-pattern';
import type { PlacementOutcome } from '../engines/dispatcher.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import type { TerminationDetector } from '../quarantine/host-quarantine.js';
import type { CompletionResponse } from './answer.js';
import { CompletionRecorder } from './completion-record.js';
import type { AdmittedRequest } from './completion-request.js';
import type { PlacedEngine, RunContext } from './run-context.js';

/** How an attempt leaves the request. */
type NextStep = 'finished' | 'again' | Fault;

/** The engine refused for want of memory: nothing is wrong with it, and it wasn't run. */
const NO_MEMORY = 'no_memory';
const RETRY_AFTER_MS: Milliseconds = 1000;

/**
 * One admitted request: waits, is placed, streams, is retried, and ends exactly once,
 * within its time limit.
 */
export class CompletionRun<Context extends RunContext = RunContext> {
  #nextToken: number;
  #hasRun = false;
  /** Attempts that an engine was given and that have not ended. */
  #attemptsInFlight = 0;
  #isEnded = false;
  #attemptCount = 0;
  #actualPromptTokens: number | undefined;
  readonly #avoidedEngines = new Set<string>();
  /** What it waits for now; told where its time ends before it came. */
  #waitReason = '';
  readonly #abort = new AbortController();
  /** What is known of servers that ended under it. */
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

  /** Index of the next token that the caller is owed. */
  get nextToken(): number {
    return this.#nextToken;
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  get remainingMs(): number {
    return this.request.deadlineMs - this.context.clock.monotonicMs();
  }

  /** A new attempt number; frames of older attempts no longer count. */
  nextAttemptNumber(): number {
    this.#attemptCount += 1;
    return this.#attemptCount;
  }

  /** Notes what the request waits for; empty where it waits no more. */
  setWaitReason(what: string): void {
    this.#waitReason = what;
  }

  onEngineStarted(): void {
    this.#hasRun = true;
  }

  /**
   * Watches an attempt. While it is in flight an engine may have begun it although its word has
   * not come yet; only its end can confirm that it was not run.
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

  /** The caller closed the connection. */
  onCallerDisconnected(): void {
    this.#fail(fault(this.#mayHaveRun ? 'cancelled_running' : 'cancelled_waiting', ''));
    this.#abort.abort();
  }

  /** Runs to its end; `runGroup` takes the place of a single engine where a prompt needs it. */
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

  /** Passes a token to the caller; tokens it has, or that come after the end, are dropped. */
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

  /** Notes that a part of a group failed. */
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

  /** Ends with a fault. Once an engine has run any part, it is never called not run. */
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
