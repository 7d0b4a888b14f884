import { fault } from '@poppypond/core';
import type { CancelTimer, Clock, Fault, Milliseconds } from '@poppypond/core';
import { WaitQueue } from '@poppypond/policy';
import type { RejectedEngine, Placement, PlacementJob, RandomSource } from '@poppypond/policy';
import { Result } from 'true-myth';
import type { OpenEngines } from './engine-directory.js';
import type { PlacedEngine } from '../completions/run-context.js';

/** A request that wants an engine. */
export interface PlaceRequest {
  readonly job: PlacementJob;
  readonly pools: readonly string[];
  readonly model: string;
  readonly workspace: string;
  readonly weight: number;
  /** `name@revision`. */
  readonly rule: string;
  readonly maxQueuedTokens: number;
  readonly maxWaitMs: Milliseconds;
  /** Engines that refused or failed this request before; used only if there is no other. */
  readonly avoid: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** Where a request was placed. */
export interface Placed {
  readonly engine: PlacedEngine;
  /** The number of the dispatch, which the engine's reports name. */
  readonly dispatch: number;
  readonly predictedStartMs: Milliseconds;
  readonly cachedTokens: number;
  readonly waitedMs: Milliseconds;
  readonly passedOver: readonly RejectedEngine[];
}

interface Waiting {
  readonly request: PlaceRequest;
  readonly since: Milliseconds;
  lastWhy: string;
  settle(result: Result<Placed, Fault>): void;
}

const RETRY_AFTER_FLOOR_MS = 250;

/** Places requests, and lets them wait at this host while no engine is free enough. */
export class Dispatcher {
  readonly #queue = new WaitQueue<Waiting>();
  #cancelTimer: CancelTimer | undefined;
  /** Engines kept for a prompt that needs several; long work leaves them alone. */
  #kept: ReadonlySet<string> = new Set();

  constructor(
    readonly directory: OpenEngines,
    readonly placement: Placement,
    readonly random: RandomSource,
    readonly clock: Clock,
  ) {}

  get waitingCount(): number {
    return this.#queue.length;
  }

  get waitingTokens(): number {
    return this.#queue.tokens;
  }

  /** Tokens in the queue that go before a request. */
  queuedTokensBefore(request: Pick<PlaceRequest, 'job' | 'pools' | 'model'>): number {
    return this.#queue.tokensAtOrAbove(request.job.priority, groupOf(request));
  }

  keepFor(engines: ReadonlySet<string>): void {
    this.#kept = engines;
  }

  /** Resolves when an engine was chosen, or at once or later with the reason why not. */
  place(request: PlaceRequest): Promise<Result<Placed, Fault>> {
    const { signal } = request;
    if (signal.aborted) return Promise.resolve(Result.err(goneFault()));
    return new Promise((resolve) => {
      const waiting: Waiting = {
        request,
        since: this.clock.monotonicMs(),
        lastWhy: '',
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      const onAbort = () => {
        if (this.#queue.remove(waiting)) waiting.settle(Result.err(goneFault()));
      };
      signal.addEventListener('abort', onAbort);
      this.#enqueue(waiting);
    });
  }

  #enqueue(waiting: Waiting): void {
    const { request } = waiting;
    const result = this.#queue.enqueue({
      item: waiting,
      priority: request.job.priority,
      workspace: request.workspace,
      weight: request.weight,
      rule: request.rule,
      maxQueuedTokens: request.maxQueuedTokens,
      tokens: request.job.promptTokens,
      group: groupOf(request),
      expiresAtMs: waiting.since + request.maxWaitMs,
    });
    if (!result.isQueued) {
      const retryAfterMs = this.#retryAfter();
      waiting.settle(Result.err(fault('queue_full', '', { rule: request.rule, retryAfterMs })));
      return;
    }
    for (const displaced of result.displaced) {
      const retryAfterMs = this.#retryAfter();
      const { rule } = displaced.request;
      displaced.settle(Result.err(fault('displaced', '', { rule, retryAfterMs })));
    }
    this.pump();
  }

  /** Time in which this host's queue should have drained. */
  #retryAfter(): Milliseconds {
    const engines = this.directory.all();
    const tokensPerMs = engines.reduce(
      (sum, engine) => sum + engine.load.state(this.clock.monotonicMs()).prefillTokensPerMs,
      0,
    );
    return Math.max(RETRY_AFTER_FLOOR_MS, this.#queue.tokens / Math.max(1, tokensPerMs));
  }

  /** Starts what can be started, and ends waits that took too long. */
  pump(): void {
    const now = this.clock.monotonicMs();
    for (const waiting of this.#queue.takeExpired(now)) {
      const { rule } = waiting.request;
      const retryAfterMs = this.#retryAfter();
      const expired = fault('wait_expired', waiting.lastWhy, { rule, retryAfterMs });
      waiting.settle(Result.err(expired));
    }
    this.#queue.startInOrder((waiting) => this.#tryStart(waiting));
    this.#scheduleExpiry();
  }

  #scheduleExpiry(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const next = this.#queue.nextExpiryMs();
    if (next === undefined) return;
    this.#cancelTimer = this.clock.after(Math.max(1, next - this.clock.monotonicMs()), () => {
      this.pump();
    });
  }

  #tryStart(waiting: Waiting): boolean {
    const { request } = waiting;
    const open = this.directory
      .open(request.pools, request.model)
      .filter(({ watched }) => request.job.lane === 'short' || !this.#kept.has(watched.name));
    const preferred = open.filter(({ watched }) => !request.avoid.has(watched.name));
    const candidates = preferred.length > 0 ? preferred : open;
    const states = candidates.map(({ state }) => state);
    const choice = this.placement.choose(request.job, states, this.random);
    if (choice.kind === 'wait') {
      waiting.lastWhy = choice.why;
      return false;
    }
    const engine = candidates.find(({ state }) => state.id === choice.engine.id)?.watched;
    if (!engine) return false;
    const now = this.clock.monotonicMs();
    engine.health.onAttempt(now);
    const { promptTokens, outputTokens, priority } = request.job;
    const dispatch = engine.load.onDispatch(
      {
        prefillTokens: Math.max(0, promptTokens - choice.cachedTokens),
        heldTokens: promptTokens + outputTokens,
        priority,
      },
      now,
    );
    const { predictedStartMs, cachedTokens, passedOver } = choice;
    const waitedMs = now - waiting.since;
    waiting.settle(
      Result.ok({ engine, dispatch, predictedStartMs, cachedTokens, waitedMs, passedOver }),
    );
    return true;
  }
}

function groupOf(request: Pick<PlaceRequest, 'job' | 'pools' | 'model'>): string {
  return `${request.model}/${request.pools.join(',')}/${request.job.lane}`;
}

function goneFault(): Fault {
  return fault('cancelled_waiting', '');
}
