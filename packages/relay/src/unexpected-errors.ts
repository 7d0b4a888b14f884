import { inspect } from 'node:util';
import type { Log, LogFields, PrometheusMetrics } from '@poppypond/telemetry';

/** Bounds a log line; the innermost calls come first. */
const MAX_STACK_CHARACTERS = 1500;

/**
 * Logs and counts exceptions that no code expects. Whoever reports one ends only the operation that
 * has failed, so that all others go on.
 */
export class UnexpectedErrors {
  constructor(
    readonly log: Log,
    readonly metrics: PrometheusMetrics,
  ) {}

  /** `operation`: what has failed, of a fixed set; `fields`: for whom. */
  report(operation: string, error: unknown, fields: LogFields = {}): void {
    this.metrics.count('poppypond_unexpected_errors_total', { operation });
    this.log.error('unexpected_error', {
      operation,
      ...fields,
      why: error instanceof Error ? error.message : inspect(error),
      stack: error instanceof Error ? error.stack?.slice(0, MAX_STACK_CHARACTERS) : undefined,
    });
  }
}
