import { randomId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { PlacementOutcome } from '../planning/placement-client.js';
import type { PlanRequest } from '../planning/plan-request.js';

/** Permits that an attempt was granted for rate-limited servers. */
export interface SendPermit {
  readonly serverIds: readonly string[];
  /** When this host received them, on its monotonic clock. */
  readonly grantedAtMs: Milliseconds;
}

/** Sends permit requests to the planner. */
export interface PermitPlacement {
  place(request: PlanRequest, isFinished: () => boolean): Promise<PlacementOutcome>;
  /** Sends a request without waiting for an answer. */
  notify(request: PlanRequest): void;
}

/** Dependencies of `PermitClient`. */
export interface PermitClientParts {
  readonly clock: Clock;
  readonly host: string;
  readonly placement: PermitPlacement;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * Shortest delay before a server without a free permit is requested again, so that hosts don't all
 * request its next one.
 */
const MIN_RETRY_DELAY_MS: Milliseconds = 50;
const MAX_RETRY_DELAY_MS: Milliseconds = 2000;
/**
 * Longest wait of a reservation command or a status query for the answer of the host that grants
 * permits.
 */
const REQUEST_TIMEOUT_MS: Milliseconds = 200;

/**
 * Requests permits from the host that grants them, for what is not planned: calls, reservation
 * commands and status queries.
 */
export class PermitClient {
  readonly #unavailableUntilMs = new Map<string, Milliseconds>();

  constructor(readonly parts: PermitClientParts) {}

  /** Whether a permit for a server may be available, as far as this host knows. */
  mayHavePermit({ id }: BackendServer): boolean {
    return (this.#unavailableUntilMs.get(id) ?? 0) <= this.parts.clock.monotonicMs();
  }

  /** Requests one permit for a server; returns undefined if none is available now. */
  async tryAcquire(server: BackendServer): Promise<SendPermit | undefined> {
    if (!this.mayHavePermit(server)) return undefined;
    const { clock, placement } = this.parts;
    const request = this.#requestFor(server, false);
    const isExpired = () => clock.monotonicMs() >= request.deadlineAtMs;
    const placed = await placement.place(request, isExpired);
    if (placed.kind === 'place') {
      return { serverIds: placed.stream.permittedIds, grantedAtMs: clock.monotonicMs() };
    }
    this.#markUnavailable(server, placed.kind === 'refuse' ? placed.retryAfterMs : undefined);
    return undefined;
  }

  /**
   * Reports one request to a server that is sent without a permit, so that it is counted against
   * the limit.
   */
  recordUse(server: BackendServer): void {
    this.parts.placement.notify(this.#requestFor(server, true));
  }

  #markUnavailable({ id }: BackendServer, retryAfterMs: Milliseconds = MAX_RETRY_DELAY_MS): void {
    const { clock, random } = this.parts;
    const forMs = Math.max(MIN_RETRY_DELAY_MS, retryAfterMs) * (1 + random());
    const nowMs = clock.monotonicMs();
    for (const [other, untilMs] of this.#unavailableUntilMs) {
      if (untilMs <= nowMs) this.#unavailableUntilMs.delete(other);
    }
    this.#unavailableUntilMs.set(id, nowMs + Math.min(MAX_RETRY_DELAY_MS, forMs));
  }

  #requestFor({ id, service }: BackendServer, isSent: boolean): PlanRequest {
    const { clock, host } = this.parts;
    const nowMs = clock.monotonicMs();
    const attemptId = randomId();
    const none = { promptTokens: 0, answerTokens: 0, aimMs: 0, gapAimMs: 0, isRepeated: false };
    return {
      attemptId,
      requestId: attemptId,
      host,
      service,
      workspace: '',
      priority: 0,
      ...none,
      arrivedAtMs: nowMs,
      callerSilentSinceMs: nowMs,
      deadlineAtMs: nowMs + REQUEST_TIMEOUT_MS,
      avoidedIds: [],
      excludedIds: [],
      permit: { serverIds: [id], isSent },
    };
  }
}
