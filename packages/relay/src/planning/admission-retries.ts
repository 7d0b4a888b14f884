import type { Milliseconds } from '@poppypond/core';
import type { PlanRequest } from './plan-request.js';
import { PromisedRequests } from './promised-requests.js';
import { MAX_WAIT_SHARE, ScheduledRetries } from './scheduled-retries.js';
import type { RefusedRequest } from './scheduled-retries.js';

/** A refused request that is not refused again when it returns. */
export interface KnownRetry {
  readonly priority: number;
  readonly content: string;
  /** Time until it is due; negative if it was due before. */
  readonly inMs: Milliseconds;
}

/** The retry time of a refused request. */
export interface RetryTime {
  readonly retryAfterMs: Milliseconds;
  /** Whether the caller is expected then. */
  readonly isScheduled: boolean;
}

/**
 * Share of the room that is reserved for scheduled retries. Most of them are late for their target,
 * and first tries can still be in time; with 0.5, 0.12 fewer of the middle priority are in time at
 * 2.5 times the usual rates.
 */
const RETRY_SHARE = 0.2;

/** Identifies a request across its tries. */
export function identityOf({ content, requestId }: PlanRequest): string {
  return content ?? requestId;
}

/** Whether a caller with `leftMs` left honors a retry time. */
export function isHonored(retryAfterMs: Milliseconds, leftMs: Milliseconds): boolean {
  return retryAfterMs <= leftMs * MAX_WAIT_SHARE;
}

/** The refused callers of one service with admission control that are served when they return. */
export class AdmissionRetries {
  readonly #byPriority = new Map<number, ScheduledRetries>();
  readonly #promised = new PromisedRequests();

  /**
   * Whether a request is not refused: it returns at its scheduled time, has done so before, or
   * engines may have run a part of it.
   */
  isPromised(request: PlanRequest, nowMs: Milliseconds): boolean {
    const id = identityOf(request);
    if (request.isRepeated || this.#promised.has(id, nowMs)) return true;
    return this.#byPriority.get(request.priority)?.isDue(id, nowMs) ?? false;
  }

  /** Keeps the precedence of a request that has returned until its deadline. */
  onReturned(request: PlanRequest, nowMs: Milliseconds): void {
    const { deadlineAtMs, priority } = request;
    this.#promised.add({ content: identityOf(request), priority, deadlineAtMs }, nowMs);
  }

  /**
   * Ends the reservation for a request that was given engines. It keeps its precedence, as it asks
   * again if its host cannot use the plan.
   */
  onPlaced(request: PlanRequest, nowMs: Milliseconds): void {
    const content = identityOf(request);
    this.#byPriority.get(request.priority)?.settle(content, nowMs);
    this.#promised.onPlaced(content);
  }

  /** Schedules the retry of a refused request; one whose answer was lost keeps its time. */
  schedule(
    request: PlanRequest,
    refused: Pick<RefusedRequest, 'expectedAtMs' | 'perSecond'>,
    nowMs: Milliseconds,
  ): RetryTime {
    const content = identityOf(request);
    const retries = this.#of(request.priority);
    const { deadlineAtMs } = request;
    const retryAfterMs =
      retries.remainingMs(content, nowMs) ??
      retries.schedule({ ...refused, content, deadlineAtMs }, nowMs);
    return { retryAfterMs, isScheduled: retries.remainingMs(content, nowMs) !== undefined };
  }

  /** Expects a request that was refused elsewhere, if its caller honors the time. */
  expect(request: PlanRequest, retryAfterMs: Milliseconds, nowMs: Milliseconds): void {
    if (!isHonored(retryAfterMs, request.deadlineAtMs - nowMs)) return;
    const retry = { content: identityOf(request), atMs: nowMs + retryAfterMs };
    this.#of(request.priority).expect([retry], nowMs);
  }

  /** Number of retries of a priority that are expected within a time from now. */
  reservedWithin(priority: number, forMs: Milliseconds, nowMs: Milliseconds): number {
    return this.#byPriority.get(priority)?.reservedUntil(nowMs + forMs, nowMs) ?? 0;
  }

  /** Contents of a priority whose retries are due within a time from now, or were due lately. */
  dueWithin(priority: number, forMs: Milliseconds, nowMs: Milliseconds): readonly string[] {
    return this.#byPriority.get(priority)?.dueBy(nowMs + forMs, nowMs) ?? [];
  }

  /**
   * All requests that are not refused again: those that have returned and wait as due now, then the
   * scheduled ones by time, then those that were given engines. These rarely ask again and are
   * known until their deadline; a standby that is told of few would learn of no scheduled one.
   */
  known(nowMs: Milliseconds): readonly KnownRetry[] {
    const scheduled = [...this.#byPriority].flatMap(([priority, retries]) => {
      return retries.all(nowMs).map(({ content, atMs }) => ({
        priority,
        content,
        inMs: atMs - nowMs,
      }));
    });
    const scheduledContents = new Set(scheduled.map(({ content }) => content));
    const returned = this.#promised
      .all(nowMs)
      .filter(({ content }) => !scheduledContents.has(content))
      .map(({ content, priority }) => ({ priority, content, inMs: 0 }));
    return [
      ...returned.filter(({ content }) => !this.#promised.isPlaced(content)),
      ...scheduled.sort((left, right) => left.inMs - right.inMs),
      ...returned.filter(({ content }) => this.#promised.isPlaced(content)),
    ];
  }

  /** Adds what another planner knows. */
  add(known: readonly KnownRetry[], nowMs: Milliseconds): void {
    for (const { priority, content, inMs } of known) {
      this.#of(priority).expect([{ content, atMs: nowMs + inMs }], nowMs);
    }
  }

  /** Replaces what is known here by the list of another planner. */
  restore(known: readonly KnownRetry[], nowMs: Milliseconds): void {
    this.#byPriority.clear();
    this.#promised.clear();
    for (const { priority, content, inMs } of known) {
      this.#of(priority).restore([{ content, atMs: nowMs + inMs }], nowMs);
    }
  }

  #of(priority: number): ScheduledRetries {
    const known = this.#byPriority.get(priority) ?? new ScheduledRetries(RETRY_SHARE);
    this.#byPriority.set(priority, known);
    return known;
  }
}
