import type { Milliseconds } from '@poppypond/core';

/** A silence that is older than this is another event. */
const RETENTION_MS: Milliseconds = 10_000;
/** More servers than any deployment has; the one that was recorded first is dropped beyond it. */
const MAX_SERVERS = 2048;

/**
 * Servers of which a connection went silent while they accepted new ones. Each attempt has a
 * connection of its own, so a later attempt that goes silent too shows that the server is at fault.
 */
export class SilentConnections {
  readonly #silentAtMs = new Map<string, Milliseconds>();

  /**
   * Records that an attempt that started at `startedAtMs` went silent. Returns whether it started
   * after another one had gone silent.
   */
  record(serverId: string, startedAtMs: Milliseconds, nowMs: Milliseconds): boolean {
    const firstMs = this.#silentAtMs.get(serverId);
    if (firstMs !== undefined && nowMs - firstMs <= RETENTION_MS) return startedAtMs > firstMs;
    this.#silentAtMs.delete(serverId);
    this.#silentAtMs.set(serverId, nowMs);
    const [first] = this.#silentAtMs.keys();
    if (this.#silentAtMs.size > MAX_SERVERS && first !== undefined) this.#silentAtMs.delete(first);
    return false;
  }

  /** Forgets silences that are too old. */
  expire(nowMs: Milliseconds): void {
    for (const [id, atMs] of this.#silentAtMs) {
      if (nowMs - atMs > RETENTION_MS) this.#silentAtMs.delete(id);
    }
  }
}
