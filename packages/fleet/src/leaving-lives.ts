import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface LeavingIncarnation {
  readonly server: BackendServer;
  readonly announcedAtMs: Milliseconds;
  /** When the list told last that it drains or did not list it; undefined while it did neither. */
  readonly confirmedAtMs?: Milliseconds;
  /** Since when it has not been listed. */
  readonly unlistedSinceMs?: Milliseconds;
}

/**
 * A "ready" that was written before the server left may be taken late: a write whose answer was lost may be
 * done 6 s later, and an entry goes after three writes, 1.2 s apart, that did not come.
 */
const MAX_WRITE_DELAY_MS: Milliseconds = 10_000;
/** A life that is not listed for so long is over: servers serve on for some seconds after their entries go. */
const UNLISTED_RETENTION_MS: Milliseconds = 60_000;

/**
 * Lives of servers that said themselves that they leave. Such a word is newer than any entry that tells otherwise,
 * by a time that nobody knows: the list is as old as the store is away. So it holds as long as the life.
 */
export class LeavingIncarnations {
  readonly #incarnations = new Map<string, LeavingIncarnation>();

  get size(): number {
    return this.#incarnations.size;
  }

  /** The server said so at `saidAtMs`, to this host or another; false where that was known. */
  add(server: BackendServer, saidAtMs: Milliseconds): boolean {
    if (this.announcedAtMs(server) !== undefined) return false;
    this.#incarnations.set(server.id, { server, announcedAtMs: saidAtMs });
    return true;
  }

  /** When this life first said that it leaves; undefined where it did not. */
  announcedAtMs(server: BackendServer): Milliseconds | undefined {
    const known = this.#incarnations.get(server.id);
    return known && isSameIncarnation(known.server, server) ? known.announcedAtMs : undefined;
  }

  /**
   * Takes in a list that holds now. Where servers tell their births, only another birth is another life; where they
   * don't, one that is ready again well after it was listed as draining or not at all has started again.
   */
  onListed(listed: readonly BackendServer[], nowMs: Milliseconds): void {
    if (this.#incarnations.size === 0) return;
    const byId = new Map(listed.map((server) => [server.id, server]));
    for (const [id, life] of [...this.#incarnations])
      this.#reconcile(id, life, byId.get(id), nowMs);
  }

  #reconcile(
    id: string,
    life: LeavingIncarnation,
    listed: BackendServer | undefined,
    nowMs: Milliseconds,
  ): void {
    const { confirmedAtMs = nowMs, unlistedSinceMs = nowMs } = life;
    const sinceMs = nowMs - Math.min(confirmedAtMs, unlistedSinceMs);
    if (listed === undefined) {
      if (nowMs - unlistedSinceMs > UNLISTED_RETENTION_MS) this.#incarnations.delete(id);
      else this.#incarnations.set(id, { ...life, confirmedAtMs: nowMs, unlistedSinceMs });
    } else if (!isSameIncarnation(life.server, listed)) this.#incarnations.delete(id);
    else if (listed.isDraining) this.#incarnations.set(id, { ...life, confirmedAtMs: nowMs });
    else if (listed.startedAtMs === undefined && sinceMs > MAX_WRITE_DELAY_MS)
      this.#incarnations.delete(id);
  }
}
