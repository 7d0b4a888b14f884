import type { Milliseconds } from '@poppypond/core';
import type { PriorityDemand } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';

/** An overload ends this long after the last refusal, so that it is logged once. */
const ENDS_AFTER_MS: Milliseconds = 2000;
const MS_PER_SECOND = 1000;
/** Priorities whose demand a log line names. */
const MAX_LOGGED = 8;

/** Logs when requests of a service begin and cease to be refused. */
export class OverloadLog {
  #sinceMs: Milliseconds | undefined;
  #lastRefusalMs: Milliseconds = 0;
  readonly #refusals = new Map<number, number>();

  constructor(
    readonly log: Log,
    readonly service: string,
  ) {}

  /** Called for each refusal. `engines`: number of usable engines. */
  onRefused(
    priority: number,
    engines: number,
    demands: readonly PriorityDemand[],
    nowMs: Milliseconds,
  ): void {
    this.#lastRefusalMs = nowMs;
    this.#refusals.set(priority, (this.#refusals.get(priority) ?? 0) + 1);
    if (this.#sinceMs !== undefined) return;
    this.#sinceMs = nowMs;
    this.log.warn('overload_begins', {
      service: this.service,
      engines: engines.toFixed(1),
      demand: this.#describe(demands),
    });
  }

  /** Called regularly. */
  check(demands: readonly PriorityDemand[], nowMs: Milliseconds): void {
    if (this.#sinceMs === undefined || nowMs - this.#lastRefusalMs < ENDS_AFTER_MS) return;
    const refused = [...this.#refusals].sort(([left], [right]) => left - right);
    this.log.info('overload_ends', {
      service: this.service,
      lasted_ms: Math.round(this.#lastRefusalMs - this.#sinceMs),
      demand: this.#describe(demands),
      refused: refused.map(([priority, count]) => `${String(priority)}:${String(count)}`).join(','),
    });
    this.#sinceMs = undefined;
    this.#refusals.clear();
  }

  /** Engines that each priority keeps busy. */
  #describe(demands: readonly PriorityDemand[]): string {
    return demands
      .slice(0, MAX_LOGGED)
      .map(({ priority, engineMsPerSecond }) => {
        return `${String(priority)}:${(engineMsPerSecond / MS_PER_SECOND).toFixed(1)}`;
      })
      .join(',');
  }
}
