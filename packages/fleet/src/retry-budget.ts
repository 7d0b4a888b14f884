import type { Clock, Milliseconds } from '@poppypond/core';

/** What all hosts together may spend on retries within any window. */
export interface RetryBudgetFigures {
  /** Retries for each first attempt. */
  readonly ratio: number;
  readonly windowMs: Milliseconds;
  /** Retries in a window beyond the ratio, for all hosts together. */
  readonly slack: number;
}

/** Part of the shared figures that is planned with; the rest covers hosts that come and go. */
const PLANNED_SHARE = 0.8;

interface ServiceHistory {
  firstAttemptTimes: Milliseconds[];
  retryTimes: Milliseconds[];
}

/**
 * This host's part of the retry budget of each service: its share of the slack by the number of
 * hosts, and the ratio of its own requests. Hosts that can't hear each other still keep the sum,
 * as the number of hosts only falls slowly after the last word of a host.
 */
export class RetryBudget {
  readonly #services = new Map<string, ServiceHistory>();

  constructor(
    readonly clock: Clock,
    readonly figures: RetryBudgetFigures,
    readonly hostCount: () => number,
  ) {}

  /** Notes a first attempt. */
  onRequest(service: string): void {
    this.#historyOf(service).firstAttemptTimes.push(this.clock.monotonicMs());
  }

  /** Takes one retry; false where this host's part is used up. */
  tryTake(service: string): boolean {
    const counts = this.#historyOf(service);
    const { ratio, slack } = this.figures;
    const shared = slack / Math.max(1, this.hostCount());
    const allowed = PLANNED_SHARE * (shared + ratio * counts.firstAttemptTimes.length);
    if (counts.retryTimes.length + 1 > allowed) return false;
    counts.retryTimes.push(this.clock.monotonicMs());
    return true;
  }

  #historyOf(service: string): ServiceHistory {
    const sinceMs = this.clock.monotonicMs() - this.figures.windowMs;
    const counts = this.#services.get(service) ?? { firstAttemptTimes: [], retryTimes: [] };
    counts.firstAttemptTimes = counts.firstAttemptTimes.filter((instant) => instant > sinceMs);
    counts.retryTimes = counts.retryTimes.filter((instant) => instant > sinceMs);
    this.#services.set(service, counts);
    return counts;
  }
}
