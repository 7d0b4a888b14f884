import type { Fault, Milliseconds } from '@poppypond/core';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { CallerResponse } from '../request/caller-response.js';
import { hostFull } from './body-reader.js';
import type { HostBudget } from './host-budget.js';

/** Dependencies of `HostFull`. */
export interface HostFullParts {
  readonly budget: HostBudget;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/**
 * Shortest retry delay: the next connection goes to another host, and callers whose deadline is
 * 1.5 s wait for a third of it.
 */
const MIN_RETRY_MS: Milliseconds = 200;
/** Spreads the retries of callers that are refused at the same moment. */
const RETRY_SPREAD_MS: Milliseconds = 250;

/** Refuses requests while the host holds more than its second watermark. */
export class HostFull {
  constructor(readonly parts: HostFullParts) {}

  /** Whether new requests are refused now. */
  get isFull(): boolean {
    return this.parts.budget.level === 'second';
  }

  /**
   * Refuses a request whose body was not read, or not completely. `reason` is that the host is full,
   * unless it was its caller that did not get on with the body.
   */
  refuse(answer: CallerResponse, reason: Fault = hostFull()): void {
    const { budget, log, metrics, random } = this.parts;
    const retryAfterMs = MIN_RETRY_MS + random() * RETRY_SPREAD_MS;
    answer.refuseUnread({ retryAfterMs, ...reason }, reason.code !== 'host_full');
    metrics.count('poppypond_requests_total', { kind: 'none', code: reason.code });
    metrics.count('poppypond_host_refusals_total', { why: reason.code });
    // Not a warning: a flood of requests must not displace the lines about its cause.
    log.info('refused', {
      request: answer.caller?.requestId,
      code: reason.code,
      why: reason.detail,
      used_bytes: Math.round(budget.usedBytes),
    });
  }
}
