import type { Milliseconds } from '@poppypond/core';
import type { EngineFault } from './deployment.js';
import type { VirtualClock } from './virtual-clock.js';

/** Share of attempts that an engine with the fault `rejects` or `fails` does not serve. */
const FAILURE_SHARE = 0.45;
/** An engine with the fault `flaps` stops and starts again once in this time. */
const FLAP_PERIOD_MS: Milliseconds = 1400;
/** Time for which it is down in each period. */
const FLAP_DOWN_MS: Milliseconds = 700;

/** What happens to an attempt that reaches an engine. */
export type AttemptFate = 'served' | 'rejected' | 'failed' | 'unreachable';

/** The faults of engines in a scenario. */
export class EngineFaults {
  constructor(
    readonly clock: VirtualClock,
    readonly faults: readonly EngineFault[],
    readonly random: () => number,
  ) {}

  /** What happens to an attempt that reaches an engine now. */
  fateOf(engineId: string): AttemptFate {
    const nowMs = this.clock.monotonicMs();
    const fault = this.faults.find(
      (one) => one.engineId === engineId && nowMs >= one.fromMs && nowMs < one.toMs,
    );
    if (!fault) return 'served';
    if (fault.kind === 'flaps') {
      const sinceMs = (nowMs - fault.fromMs) % FLAP_PERIOD_MS;
      return sinceMs < FLAP_DOWN_MS ? 'unreachable' : 'served';
    }
    if (this.random() >= FAILURE_SHARE) return 'served';
    return fault.kind === 'rejects' ? 'rejected' : 'failed';
  }

  /** Calls `onStop` and `onStart` at each stop and start of an engine. */
  schedule(onStop: (engineId: string) => void, onStart: (engineId: string) => void): void {
    for (const { engineId, fromMs, toMs, kind } of this.faults) {
      if (kind !== 'flaps') continue;
      for (let atMs = fromMs; atMs < toMs; atMs += FLAP_PERIOD_MS) {
        this.clock.after(atMs, () => {
          onStop(engineId);
        });
        this.clock.after(atMs + FLAP_DOWN_MS, () => {
          onStart(engineId);
        });
      }
    }
  }
}
