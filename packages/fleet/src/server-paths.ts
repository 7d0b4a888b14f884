import type { Milliseconds } from '@poppypond/core';

/** This many servers without a connection to any in between: the fault is on this host's side. */
const MIN_UNREACHED_SERVERS = 3;
/** A failed connection says nothing about the present after this time. */
const UNREACHED_MEMORY_MS: Milliseconds = 5000;

/** Which servers this host reaches, by the results of its own connection attempts. */
export class ServerPaths {
  /** Servers that were not reached since the last connection to any, with the time of the failure. */
  readonly #unreached = new Map<string, Milliseconds>();
  #connectedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Records that this host has connected to a server. */
  recordConnected(nowMs: Milliseconds): void {
    this.#connectedAtMs = nowMs;
    this.#unreached.clear();
  }

  /** Records that a connection to a server did not come up. */
  recordUnreached(serverId: string, nowMs: Milliseconds): void {
    this.#unreached.set(serverId, nowMs);
  }

  /** Number of servers that were not reached since the last connection to any. */
  unreachedCount(nowMs: Milliseconds): number {
    for (const [id, atMs] of this.#unreached) {
      if (nowMs - atMs > UNREACHED_MEMORY_MS) this.#unreached.delete(id);
    }
    return this.#unreached.size;
  }

  /** Whether this host seems to be partitioned from all servers. */
  isIsolated(nowMs: Milliseconds): boolean {
    return this.unreachedCount(nowMs) >= MIN_UNREACHED_SERVERS;
  }

  /** Time since this host last connected to a server; infinite if it never has. */
  connectedAgeMs(nowMs: Milliseconds): Milliseconds {
    return nowMs - this.#connectedAtMs;
  }
}
