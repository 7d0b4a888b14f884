import type { Clock, Milliseconds } from '@poppypond/core';

/** A host that is stopped and started again is back within seconds; one that is not is gone. */
const GONE_AFTER_MS: Milliseconds = 60_000;

/** Hosts that have left, whose entry in the store nobody but another host can take off. */
export class DepartedHosts {
  readonly #leftAtMs = new Map<string, Milliseconds>();

  constructor(readonly clock: Clock) {}

  /** `host` has said that it leaves. */
  onLeft(host: string): void {
    this.#leftAtMs.set(host, this.clock.monotonicMs());
  }

  /** `host` is there. */
  onHeard(host: string): void {
    this.#leftAtMs.delete(host);
  }

  /** Hosts that have been gone for long; each is told once. */
  takePermanentlyGone(): readonly string[] {
    const beforeMs = this.clock.monotonicMs() - GONE_AFTER_MS;
    const gone = [...this.#leftAtMs].filter(([, atMs]) => atMs <= beforeMs).map(([host]) => host);
    for (const host of gone) this.#leftAtMs.delete(host);
    return gone;
  }
}
