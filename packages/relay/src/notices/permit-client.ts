import { randomId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { PlacementOutcome } from '../planning/placement-client.js';
import type { PlanRequest } from '../planning/plan-request.js';

/** Places of servers' limits that an attempt was given. */
export interface SendPermit {
  readonly serverIds: readonly string[];
  /** When this host was given them, on its clock. */
  readonly grantedAtMs: Milliseconds;
}

/** How permits are asked for. */
export interface PermitPlacement {
  place(request: PlanRequest, isOver: () => boolean): Promise<PlacementOutcome>;
  /** Tells of a request without waiting for an answer. */
  notify(request: PlanRequest): void;
}

/** What asking for permits needs. */
export interface PermitClientParts {
  readonly clock: Clock;
  readonly host: string;
  readonly placement: PermitPlacement;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/** A server without a place is asked for again after this at least: hosts must not all ask for the next one. */
const MIN_RETRY_DELAY_MS: Milliseconds = 50;
const MAX_RETRY_DELAY_MS: Milliseconds = 2000;
/** An order or a question waits for so long at most for the answer of whoever gives out places. */
const REQUEST_TIMEOUT_MS: Milliseconds = 200;

/** Asks the host that gives out places of limits for what is not planned: calls, orders and questions. */
export class PermitClient {
  readonly #unavailableUntilMs = new Map<string, Milliseconds>();

  constructor(readonly parts: PermitClientParts) {}

  /** Whether a place of a server may be there, as far as is known. */
  mayHavePermit({ id }: BackendServer): boolean {
    return (this.#unavailableUntilMs.get(id) ?? 0) <= this.parts.clock.monotonicMs();
  }

  /** Asks for one place of a server that is there now; undefined where there is none. */
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

  /** Has one place of a server counted that is used without being asked for. */
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
