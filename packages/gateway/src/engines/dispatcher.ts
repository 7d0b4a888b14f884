import { fault } from '@poppypond/core';
import type { CancelTimer, Clock, Fault, Milliseconds } from '@poppypond/core';
import { WaitQueue } from '@poppypond/policy';
import type { RejectedEngine, Placement, PlacementJob, RandomSource } from '@poppypond/policy';
import { Result } from 'true-myth';
import type { EngineSource } from './engine-directory.js';
import type { PlacedEngine } from '../completions/run-context.js';

/** A request for placement on an engine. */
export interface PlacementRequest {
  readonly job: PlacementJob;
  readonly pools: readonly string[];
  readonly model: string;
  readonly workspace: string;
  readonly weight: number;
  /** `name@revision`. */
  readonly rule: string;
  readonly maxQueuedTokens: number;
  readonly maxWaitMs: Milliseconds;
  /** Engines that refused or failed earlier attempts; selected only if no other is available. */
  readonly avoidedEngines: ReadonlySet<string>;
  readonly signal: AbortSignal;
}

/** The engine selected for a request, and the figures behind the selection. */
export interface PlacementOutcome {
  readonly engine: PlacedEngine;
  /** Sequence number of the dispatch; an engine's load reports name the last one they count. */
  readonly dispatch: number;
  readonly predictedStartMs: Milliseconds;
  readonly cachedTokens: number;
  readonly waitedMs: Milliseconds;
  readonly passedOver: readonly RejectedEngine[];
}

interface WaitingRequest {
  readonly request: PlacementRequest;
  readonly enqueuedAtMs: Milliseconds;
  lastWaitReason: string;
  settle(result: Result<PlacementOutcome, Fault>): void;
}

const MIN_RETRY_AFTER_MS = 250;

/** Places requests on engines; queues them at this host while no engine has enough capacity. */
export class Dispatcher {
  readonly #queue = new WaitQueue<WaitingRequest>();
  #cancelTimer: CancelTimer | undefined;
  /** Engines kept free for a prompt that needs several; no long request is placed on them. */
  #keptFreeForGroup: ReadonlySet<string> = new Set();

  constructor(
    readonly directory: EngineSource,
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

  /** Tokens of queued requests that are placed before this one. */
  queuedTokensAhead(request: Pick<PlacementRequest, 'job' | 'pools' | 'model'>): number {
    return this.#queue.tokensAtOrAbove(request.job.priority, queueGroup(request));
  }

  keepFreeForGroup(engines: ReadonlySet<string>): void {
    this.#keptFreeForGroup = engines;
  }

  /**
   * Resolves with the selected engine. Resolves with a fault if the queue is full, a request of
   * higher priority displaces this one, its wait expires, or `signal` is aborted.
   */
  place(request: PlacementRequest): Promise<Result<PlacementOutcome, Fault>> {
    const { signal } = request;
    if (signal.aborted) return Promise.resolve(Result.err(cancelledFault()));
    return new Promise((resolve) => {
      const waiting: WaitingRequest = {
        request,
        enqueuedAtMs: this.clock.monotonicMs(),
        lastWaitReason: '',
        settle: (result) => {
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      const onAbort = () => {
        if (this.#queue.remove(waiting)) waiting.settle(Result.err(cancelledFault()));
      };
      signal.addEventListener('abort', onAbort);
      this.#enqueue(waiting);
    });
  }

  #enqueue(waiting: WaitingRequest): void {
    const { request } = waiting;
    const result = this.#queue.enqueue({
      item: waiting,
      priority: request.job.priority,
      workspace: request.workspace,
      weight: request.weight,
      rule: request.rule,
      maxQueuedTokens: request.maxQueuedTokens,
      tokens: request.job.promptTokens,
      group: queueGroup(request),
      expiresAtMs: waiting.enqueuedAtMs + request.maxWaitMs,
    });
    if (!result.isQueued) {
      const retryAfterMs = this.#retryAfterMs();
      waiting.settle(Result.err(fault('queue_full', '', { rule: request.rule, retryAfterMs })));
      return;
    }
    for (const displaced of result.displaced) {
      const retryAfterMs = this.#retryAfterMs();
      const { rule } = displaced.request;
      displaced.settle(Result.err(fault('displaced', '', { rule, retryAfterMs })));
    }
    this.processQueue();
  }

  /** Expected time until this host's queue has drained. */
  #retryAfterMs(): Milliseconds {
    const engines = this.directory.all();
    const tokensPerMs = engines.reduce(
      (sum, engine) => sum + engine.load.state(this.clock.monotonicMs()).prefillTokensPerMs,
      0,
    );
    return Math.max(MIN_RETRY_AFTER_MS, this.#queue.tokens / Math.max(1, tokensPerMs));
  }

  /** Expires requests that have waited too long, and places those that an engine can take. */
  processQueue(): void {
    const now = this.clock.monotonicMs();
    for (const waiting of this.#queue.takeExpired(now)) {
      const { rule } = waiting.request;
      const retryAfterMs = this.#retryAfterMs();
      const expired = fault('wait_expired', waiting.lastWaitReason, { rule, retryAfterMs });
      waiting.settle(Result.err(expired));
    }
    this.#queue.startInOrder((waiting) => this.#tryStart(waiting));
    this.#scheduleExpiry();
  }

  #scheduleExpiry(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
    const nextExpiryMs = this.#queue.nextExpiryMs();
    if (nextExpiryMs === undefined) return;
    this.#cancelTimer = this.clock.after(
      Math.max(1, nextExpiryMs - this.clock.monotonicMs()),
      () => {
        this.processQueue();
      },
    );
  }

  #tryStart(waiting: WaitingRequest): boolean {
    const { request } = waiting;
    const available = this.directory
      .listAvailable(request.pools, request.model)
      .filter(
        ({ engine }) => request.job.lane === 'short' || !this.#keptFreeForGroup.has(engine.name),
      );
    const preferred = available.filter(({ engine }) => !request.avoidedEngines.has(engine.name));
    const candidates = preferred.length > 0 ? preferred : available;
    const states = candidates.map(({ state }) => state);
    const choice = this.placement.choose(request.job, states, this.random);
    if (choice.kind === 'wait') {
      waiting.lastWaitReason = choice.why;
      return false;
    }
    const engine = candidates.find(({ state }) => state.id === choice.engine.id)?.engine;
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
    const waitedMs = now - waiting.enqueuedAtMs;
    waiting.settle(
      Result.ok({ engine, dispatch, predictedStartMs, cachedTokens, waitedMs, passedOver }),
    );
    return true;
  }
}

function queueGroup(request: Pick<PlacementRequest, 'job' | 'pools' | 'model'>): string {
  return `${request.model}/${request.pools.join(',')}/${request.job.lane}`;
}

function cancelledFault(): Fault {
  return fault('cancelled_waiting', '');
}
