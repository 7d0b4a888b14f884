import type { AttemptEnd } from '@poppypond/backend';
import { fault, outcomeOf, formatOwner } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { requestCost } from '@poppypond/policy';
import type { Charge, PlacementJob } from '@poppypond/policy';
import { match, P } from 'ts-pattern';
import type { Placed } from '../engines/dispatcher.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import type { RequestEnds } from '../quarantine/host-quarantine.js';
import type { Answer } from './answer.js';
import { CompletionRecord } from './completion-record.js';
import type { AdmittedRequest } from './completion-request.js';
import type { PlacedEngine, RunContext } from './run-context.js';

/** How an attempt leaves the request. */
type Next = 'finished' | 'again' | Fault;

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
  #inFlight = 0;
  #isEnded = false;
  #attempt = 0;
  #actualPromptTokens: number | undefined;
  readonly #avoid = new Set<string>();
  /** What it waits for now; told where its time ends before it came. */
  #awaited = '';
  readonly #abort = new AbortController();
  /** What is known of servers that ended under it. */
  readonly ends: RequestEnds;
  readonly #record: CompletionRecord;

  constructor(
    readonly context: Context,
    readonly request: AdmittedRequest,
    readonly answer: Answer,
    readonly recorder: DecisionRecorder,
  ) {
    this.#nextToken = request.headers.resume?.offset ?? 0;
    this.#record = new CompletionRecord(context, request, recorder);
    const head = [request.caller.workspace, request.body.model];
    this.ends = context.quarantine.follow({ head, body: request.bytes });
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
  nextAttempt(): number {
    this.#attempt += 1;
    return this.#attempt;
  }

  /** Notes what the request waits for; empty where it waits no more. */
  setAwaited(what: string): void {
    this.#awaited = what;
  }

  onStartedOnEngine(): void {
    this.#hasRun = true;
  }

  /**
   * Watches an attempt. While it is in flight an engine may have begun it although its word has
   * not come yet; only its end can confirm that it was not run.
   */
  async watchAttempt(attempt: Promise<AttemptEnd>): Promise<AttemptEnd> {
    this.#inFlight += 1;
    const end = await attempt;
    this.#inFlight -= 1;
    if (end.kind === 'cut') this.#hasRun = true;
    return end;
  }

  get #mayHaveRun(): boolean {
    return this.#hasRun || this.#inFlight > 0;
  }

  /** The caller closed the connection. */
  onCallerGone(): void {
    this.#end(fault(this.#mayHaveRun ? 'cancelled_running' : 'cancelled_waiting', ''));
    this.#abort.abort();
  }

  /** Runs to its end; `runGroup` takes the place of a single engine where a prompt needs it. */
  async run(charge: Charge, runGroup?: () => Promise<'finished' | Fault>): Promise<void> {
    const { clock } = this.context;
    const cancelTimer = clock.after(Math.max(0, this.remainingMs), () => {
      const code = this.#mayHaveRun ? 'time_limit' : 'wait_expired';
      this.#end(fault(code, this.#awaited, this.#ruleField()));
      this.#abort.abort();
    });
    this.context.retries.onFirstAttempt();
    const result = runGroup ? await runGroup() : await this.#runOnEngines();
    cancelTimer();
    if (result === 'finished') this.#finish();
    else this.#end(result);
    this.#settle(charge);
  }

  async #runOnEngines(): Promise<'finished' | Fault> {
    for (;;) {
      const held = this.ends.heldBecause();
      if (held) return held;
      const placed = await this.context.dispatcher.place({
        job: this.#job(),
        pools: this.request.pools,
        model: this.request.body.model,
        workspace: this.request.caller.workspace,
        weight: this.context.weightOf(this.request.caller.workspace),
        rule: this.request.rule,
        maxQueuedTokens: this.request.resolution.rule.object.spec.maxQueuedTokens,
        maxWaitMs: Math.min(this.request.resolution.rule.object.spec.maxWaitMs, this.remainingMs),
        avoid: this.#avoid,
        signal: this.signal,
      });
      if (placed.isErr) return placed.error;
      this.#record.placed(placed.value, this.remainingMs);
      this.ends.begin();
      const end = await this.#runAttempt(placed.value);
      const { name, url } = placed.value.engine;
      if (end.kind === 'cut') await this.ends.onCut(name, url);
      const next = this.#afterAttempt(placed.value, end);
      if (next !== 'again') return next;
    }
  }

  #job(): PlacementJob {
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

  async #runAttempt(placed: Placed): Promise<AttemptEnd> {
    const { context, request } = this;
    const { engine, dispatch } = placed;
    let isFirst = true;
    const attempt = context.runAttempt(
      {
        engineUrl: engine.url,
        requestId: request.id,
        attempt: this.nextAttempt(),
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
          this.onStartedOnEngine();
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
    const end = await this.watchAttempt(attempt);
    engine.load.onEnd(dispatch);
    return end;
  }

  /** Passes a token to the caller; tokens it has, or that come after the end, are dropped. */
  onToken(index: number, text: string): void {
    if (this.#isEnded || index !== this.#nextToken) return;
    if (index === (this.request.headers.resume?.offset ?? 0)) this.#record.firstToken();
    this.#nextToken += 1;
    this.answer.token(index, text);
  }

  #afterAttempt({ engine }: Placed, end: AttemptEnd): Next {
    const { health } = engine;
    return match(end)
      .returnType<Next>()
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
        this.#avoid.add(engine.name);
        return 'again';
      })
      .with({ kind: 'refused', reason: P.string }, ({ reason, backoffMs: restMs }) => {
        if (restMs !== undefined)
          health.onBackoffRequested(restMs, this.context.clock.monotonicMs());
        this.#onEngineFailure(engine);
        return this.#tryAgain(engine.name, reason);
      })
      .with({ kind: P.union('not_sent', 'cut') }, ({ detail }) => {
        this.#onEngineFailure(engine);
        return this.#tryAgain(engine.name, detail);
      })
      .exhaustive();
  }

  #onEngineFailure({ health, name }: PlacedEngine): void {
    if (health.onFailure(this.context.clock.monotonicMs())) this.#record.setAside(name);
  }

  #tryAgain(engine: string, why: string): Next {
    this.#avoid.add(engine);
    const again = this.context.retries.tryTake();
    this.#record.retry({ engine, why, token: this.#nextToken }, again);
    if (again) return 'again';
    return fault('retries_spent', why, { ...this.#ruleField(), retryAfterMs: RETRY_AFTER_MS });
  }

  /** Notes that a part of a group failed. */
  recordGroupFailure(engine: string, end: AttemptEnd): void {
    this.#record.groupFailure(engine, end);
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
  #end(given: Fault): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    const isBlurred = this.#mayHaveRun && outcomeOf(given.code) === 'not_run';
    const end = isBlurred
      ? fault('incomplete', `${given.code}: ${given.detail}`, this.#ruleField())
      : given;
    this.answer.fail(end);
    this.#recordEnd(end.code, end.detail);
  }

  #recordEnd(code: string, detail: string): void {
    this.#record.ended(code, detail, { attempts: this.#attempt, tokens: this.#nextToken });
  }

  #settle(charge: Charge): void {
    const { context, request } = this;
    const offset = request.headers.resume?.offset ?? 0;
    const prompt = this.#actualPromptTokens ?? (this.#hasRun ? request.promptTokens : 0);
    const actual = requestCost(prompt, this.#nextToken - offset);
    context.settle(charge, actual);
    if (this.#actualPromptTokens === undefined) return;
    const { estimatedTokens } = request.body;
    context.correction.observe(request.className, estimatedTokens, this.#actualPromptTokens);
  }
}
