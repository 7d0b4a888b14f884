import type { Milliseconds } from '@poppypond/core';

/** An evacuation that was withdrawn a short time ago. */
export interface WithdrawnEvacuation {
  readonly zone: string;
  /** A version of the store at which it was withdrawn. */
  readonly version: number;
  /** When a host first learned of it, on this process's clock. */
  readonly atMs: Milliseconds;
}

/**
 * How long withdrawn evacuations are remembered. Longer than servers stay cold on any deployment
 * seen; a host that learns of one later treats no server of the zone as cold.
 */
const RETENTION_MS: Milliseconds = 60_000;
/** More zones than any deployment has; of more, the oldest is dropped. */
const MAX_ZONES = 32;

/**
 * The evacuations that were withdrawn recently, by zone. A host that missed both changes of an
 * evacuation sees the same set of zones before and after, and learns only from this that the servers
 * of the zone may have turned cold.
 */
export class WithdrawnEvacuations {
  readonly #byZone = new Map<string, WithdrawnEvacuation>();

  /**
   * Records a withdrawal. Returns false if it, or a later one of the same zone, is known, or if it is
   * too long ago at `nowMs`.
   */
  add(withdrawn: WithdrawnEvacuation, nowMs: Milliseconds): boolean {
    const { zone, version, atMs } = withdrawn;
    if (nowMs - atMs >= RETENTION_MS || version <= this.versionOf(zone)) return false;
    this.#byZone.delete(zone);
    this.#byZone.set(zone, withdrawn);
    const [oldest] = this.#byZone.keys();
    if (oldest !== undefined && this.#byZone.size > MAX_ZONES) this.#byZone.delete(oldest);
    return true;
  }

  /** The version of the last known withdrawal of a zone; negative infinity if none is known. */
  versionOf(zone: string): number {
    return this.#byZone.get(zone)?.version ?? Number.NEGATIVE_INFINITY;
  }

  /** The withdrawals that are recent at `nowMs`. Forgets the others. */
  recent(nowMs: Milliseconds): readonly WithdrawnEvacuation[] {
    for (const { zone, atMs } of this.#byZone.values())
      if (nowMs - atMs >= RETENTION_MS) this.#byZone.delete(zone);
    return [...this.#byZone.values()];
  }
}
