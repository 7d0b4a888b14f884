import type { Clock } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';

/** Logs the loss of a dependency and its recovery, once each. */
export class DependencyState {
  #lostAtMs: number | undefined;

  constructor(
    readonly clock: Clock,
    readonly log: Log,
    readonly name: string,
  ) {}

  get isLost(): boolean {
    return this.#lostAtMs !== undefined;
  }

  onFailure(detail: string): void {
    if (this.#lostAtMs !== undefined) return;
    this.#lostAtMs = this.clock.monotonicMs();
    this.log.warn('dependency_lost', { dependency: this.name, why: detail });
  }

  onSuccess(): void {
    if (this.#lostAtMs === undefined) return;
    const outageMs = Math.round(this.clock.monotonicMs() - this.#lostAtMs);
    this.#lostAtMs = undefined;
    this.log.warn('dependency_regained', { dependency: this.name, away_ms: outageMs });
  }
}
