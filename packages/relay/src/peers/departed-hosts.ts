import type { Clock, Milliseconds } from '@poppypond/core';

/**
 * A host that is restarted is back within seconds; one that stays away for this long is permanently
 * gone.
 */
const GONE_AFTER_MS: Milliseconds = 60_000;

/** Hosts that have left, whose entries in the store only other hosts can remove. */
export class DepartedHosts {
  readonly #leftAtMs = new Map<string, Milliseconds>();

  constructor(readonly clock: Clock) {}

  /** Records that `host` has announced that it leaves. */
  onLeft(host: string): void {
    this.#leftAtMs.set(host, this.clock.monotonicMs());
  }

  /** Records that `host` was heard from. */
  onHeard(host: string): void {
    this.#leftAtMs.delete(host);
  }

  /**
   * Returns the hosts that have been away for so long that they are permanently gone, each of them
   * once.
   */
  takePermanentlyGone(): readonly string[] {
    const beforeMs = this.clock.monotonicMs() - GONE_AFTER_MS;
    const gone = [...this.#leftAtMs].filter(([, atMs]) => atMs <= beforeMs).map(([host]) => host);
    for (const host of gone) this.#leftAtMs.delete(host);
    return gone;
  }
}
