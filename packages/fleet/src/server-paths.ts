import type { Milliseconds } from '@poppypond/core';

/** How the last connection of this host to a server failed. */
interface FailedConnection {
  readonly failedAtMs: Milliseconds;
  /** Whether it got no answer, so that open connections are lost too; others may live on. */
  readonly isSilent: boolean;
}

/** A server that this host does not reach although another host does. */
interface BrokenPath extends FailedConnection {
  /** When this host last tried to reach the server itself. */
  readonly probedAtMs: Milliseconds;
}

/** This many servers without a connection to any in between: the fault is on this host's side. */
const MIN_UNREACHED_SERVERS = 3;
/** A failed connection says nothing about the present after this time. */
const MEMORY_MS: Milliseconds = 5000;
/** Interval between direct connection attempts to a server whose path is broken. */
const PROBE_PERIOD_MS: Milliseconds = 500;

/** Which servers this host reaches, by the results of its own connection attempts. */
export class ServerPaths {
  /** Servers that were not reached since the last connection to any. */
  readonly #unreached = new Map<string, FailedConnection>();
  readonly #broken = new Map<string, BrokenPath>();
  #connectedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Last probe of a path that is not known to be broken, while this host seems to be partitioned. */
  #partitionedProbeAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Records that this host has connected to a server. */
  recordConnected(serverId: string, nowMs: Milliseconds): void {
    this.#connectedAtMs = nowMs;
    this.#unreached.clear();
    this.#broken.delete(serverId);
  }

  /** Records that no connection to a server came up, and no other host says that it is down. */
  recordUnreached(serverId: string, nowMs: Milliseconds, isSilent: boolean): void {
    this.#unreached.set(serverId, { failedAtMs: nowMs, isSilent });
  }

  /**
   * Records that another host has connected to a server that this one does not reach. Returns true
   * if the path was not known to be broken.
   */
  recordBroken(serverId: string, nowMs: Milliseconds, isSilent: boolean): boolean {
    const known = this.#find(serverId, nowMs);
    const failed = { failedAtMs: nowMs, isSilent };
    this.#unreached.set(serverId, failed);
    this.#broken.set(serverId, { ...failed, probedAtMs: known?.probedAtMs ?? nowMs });
    return known === undefined;
  }

  /**
   * Whether the path to a server is broken, or may be, as this host seems to be partitioned from all
   * servers.
   */
  isBroken(serverId: string, nowMs: Milliseconds): boolean {
    return this.isPartitioned(nowMs) || this.#find(serverId, nowMs) !== undefined;
  }

  /** Whether connections to a server that this host opened itself are lost. */
  isSilent(serverId: string, nowMs: Milliseconds): boolean {
    const known = this.#find(serverId, nowMs);
    if (known) return known.isSilent;
    return (
      this.isPartitioned(nowMs) && [...this.#unreached.values()].every(({ isSilent }) => isSilent)
    );
  }

  /** Whether to try a broken path again; counts as tried if so. */
  takeProbe(serverId: string, nowMs: Milliseconds): boolean {
    const known = this.#find(serverId, nowMs);
    const probedAtMs = known?.probedAtMs ?? this.#partitionedProbeAtMs;
    if (nowMs - probedAtMs < PROBE_PERIOD_MS) return false;
    if (known) this.#broken.set(serverId, { ...known, probedAtMs: nowMs });
    else this.#partitionedProbeAtMs = nowMs;
    return true;
  }

  /** Number of servers that were not reached since the last connection to any. */
  unreachedCount(nowMs: Milliseconds): number {
    for (const [id, { failedAtMs }] of this.#unreached) {
      if (nowMs - failedAtMs > MEMORY_MS) this.#unreached.delete(id);
    }
    return this.#unreached.size;
  }

  /** Number of servers that this host does not reach although another host does. */
  brokenCount(nowMs: Milliseconds): number {
    for (const id of [...this.#broken.keys()]) this.#find(id, nowMs);
    return this.#broken.size;
  }

  /** Whether this host seems to be partitioned from all servers. */
  isPartitioned(nowMs: Milliseconds): boolean {
    return this.unreachedCount(nowMs) >= MIN_UNREACHED_SERVERS;
  }

  /** Time since this host last connected to a server; infinite if it never has. */
  connectedAgeMs(nowMs: Milliseconds): Milliseconds {
    return nowMs - this.#connectedAtMs;
  }

  #find(serverId: string, nowMs: Milliseconds): BrokenPath | undefined {
    const known = this.#broken.get(serverId);
    if (known && nowMs - known.failedAtMs <= MEMORY_MS) return known;
    this.#broken.delete(serverId);
    return undefined;
  }
}
