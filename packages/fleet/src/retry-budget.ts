import type { Clock, Milliseconds } from '@poppypond/core';

/** Limits on the retries of all hosts together within any window. */
export interface RetryBudgetFigures {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  readonly windowMs: Milliseconds;
  /** Retries allowed per window in addition to the ratio, for all hosts together. */
  readonly slack: number;
}

/** Share of the fleet-wide limits that is used; the rest covers hosts that join and leave. */
const PLANNED_SHARE = 0.8;

interface ServiceHistory {
  firstAttemptTimes: Milliseconds[];
  retryTimes: Milliseconds[];
}

/**
 * This host's part of the retry budget of each service: an equal share of the slack plus the ratio
 * applied to its own requests. The fleet-wide limit also holds during a network partition, because
 * the host count falls only slowly after the last message of a host.
 */
export class RetryBudget {
  readonly #services = new Map<string, ServiceHistory>();

  constructor(
    readonly clock: Clock,
    readonly figures: RetryBudgetFigures,
    readonly hostCount: () => number,
  ) {}

  /** Records a first attempt. */
  onRequest(service: string): void {
    this.#historyOf(service).firstAttemptTimes.push(this.clock.monotonicMs());
  }

  /** Takes one retry from the budget; returns false if this host's part is used up. */
  tryTake(service: string): boolean {
    const history = this.#historyOf(service);
    const { ratio, slack } = this.figures;
    const slackShare = slack / Math.max(1, this.hostCount());
    const allowed = PLANNED_SHARE * (slackShare + ratio * history.firstAttemptTimes.length);
    if (history.retryTimes.length + 1 > allowed) return false;
    history.retryTimes.push(this.clock.monotonicMs());
    return true;
  }

  #historyOf(service: string): ServiceHistory {
    const sinceMs = this.clock.monotonicMs() - this.figures.windowMs;
    const history = this.#services.get(service) ?? { firstAttemptTimes: [], retryTimes: [] };
    history.firstAttemptTimes = history.firstAttemptTimes.filter((instant) => instant > sinceMs);
    history.retryTimes = history.retryTimes.filter((instant) => instant > sinceMs);
    this.#services.set(service, history);
    return history;
  }
}
