import type { Milliseconds } from '@poppypond/core';

interface ProbationRecord {
  /** When the server is no longer avoided. */
  readonly fromMs: Milliseconds;
  /** Requests that may be outstanding. */
  readonly most: number;
}

/** Requests that a server that returns may have outstanding; the limit doubles with each success. */
const INITIAL_OUTSTANDING = 1;
const GROWTH = 2;
/** The limit is dropped once it reaches this value. */
const UNLIMITED_OUTSTANDING = 32;
/** A server that has been unused for this long after its return is treated like any other. */
const RETENTION_MS: Milliseconds = 30_000;
/** More servers than any deployment has; the one that began first is dropped beyond it. */
const MAX_SERVERS = 2048;

/**
 * Limits the outstanding requests of servers that return after they were avoided: a server that
 * still fails then costs few requests.
 */
export class ProbationLimits {
  readonly #records = new Map<string, ProbationRecord>();

  /** Number of servers on probation, with those that are still avoided. */
  get size(): number {
    return this.#records.size;
  }

  /**
   * Starts the probation of a server that returns at `fromMs`, or starts it again. `most`: requests
   * that it may have outstanding at first.
   */
  begin(serverId: string, fromMs: Milliseconds, most = INITIAL_OUTSTANDING): void {
    this.#records.delete(serverId);
    this.#records.set(serverId, { fromMs, most });
    if (this.#records.size <= MAX_SERVERS) return;
    const [first] = this.#records.keys();
    if (first !== undefined) this.#records.delete(first);
  }

  /**
   * Records that a server served a request; returns true if that ends its probation. Requests that
   * end while it is still avoided were sent before its failure.
   */
  onServed(serverId: string, nowMs: Milliseconds): boolean {
    const known = this.#records.get(serverId);
    if (!known || nowMs < known.fromMs) return false;
    const most = known.most * GROWTH;
    if (most < UNLIMITED_OUTSTANDING) {
      this.#records.set(serverId, { ...known, most });
      return false;
    }
    this.#records.delete(serverId);
    return true;
  }

  /** Whether a server is on probation or will be when it is no longer avoided. */
  has(serverId: string): boolean {
    return this.#records.has(serverId);
  }

  /** Requests that may be outstanding at a server; Infinity without probation. */
  mostOutstanding(serverId: string): number {
    return this.#records.get(serverId)?.most ?? Number.POSITIVE_INFINITY;
  }

  /** Ids of the servers that have returned and are on probation. */
  idsAt(nowMs: Milliseconds): readonly string[] {
    return [...this.#records].filter(([, { fromMs }]) => fromMs <= nowMs).map(([id]) => id);
  }

  /** Ends the probation of servers that returned long ago. */
  expire(nowMs: Milliseconds): void {
    for (const [id, { fromMs }] of this.#records) {
      if (nowMs - fromMs > RETENTION_MS) this.#records.delete(id);
    }
  }
}
