import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface LeavingLife {
  readonly server: BackendServer;
  readonly saidAtMs: Milliseconds;
  /** When the list told last that it drains or did not list it; undefined while it did neither. */
  readonly confirmedAtMs?: Milliseconds;
  /** Since when it has not been listed. */
  readonly unlistedSinceMs?: Milliseconds;
}

/**
 * A "ready" that was written before the server left may be taken late: a write whose answer was lost may be
 * done 6 s later, and an entry goes after three writes, 1.2 s apart, that did not come.
 */
const LATE_WRITE_MS: Milliseconds = 10_000;
/** A life that is not listed for so long is over: servers serve on for some seconds after their entries go. */
const UNLISTED_KNOWN_MS: Milliseconds = 60_000;

/**
 * Lives of servers that said themselves that they leave. Such a word is newer than any entry that tells otherwise,
 * by a time that nobody knows: the list is as old as the store is away. So it holds as long as the life.
 */
export class LeavingIncarnations {
  readonly #lives = new Map<string, LeavingLife>();

  get size(): number {
    return this.#lives.size;
  }

  /** The server said so at `saidAtMs`, to this host or another; false where that was known. */
  add(server: BackendServer, saidAtMs: Milliseconds): boolean {
    if (this.announcedAtMs(server) !== undefined) return false;
    this.#lives.set(server.id, { server, saidAtMs });
    return true;
  }

  /** When this life first said that it leaves; undefined where it did not. */
  announcedAtMs(server: BackendServer): Milliseconds | undefined {
    const known = this.#lives.get(server.id);
    return known && isSameIncarnation(known.server, server) ? known.saidAtMs : undefined;
  }

  /**
   * Takes in a list that holds now. Where servers tell their births, only another birth is another life; where they
   * don't, one that is ready again well after it was listed as draining or not at all has started again.
   */
  onListed(listed: readonly BackendServer[], nowMs: Milliseconds): void {
    if (this.#lives.size === 0) return;
    const byId = new Map(listed.map((server) => [server.id, server]));
    for (const [id, life] of [...this.#lives]) this.#compare(id, life, byId.get(id), nowMs);
  }

  #compare(
    id: string,
    life: LeavingLife,
    listed: BackendServer | undefined,
    nowMs: Milliseconds,
  ): void {
    const { confirmedAtMs = nowMs, unlistedSinceMs = nowMs } = life;
    const sinceMs = nowMs - Math.min(confirmedAtMs, unlistedSinceMs);
    if (listed === undefined) {
      if (nowMs - unlistedSinceMs > UNLISTED_KNOWN_MS) this.#lives.delete(id);
      else this.#lives.set(id, { ...life, confirmedAtMs: nowMs, unlistedSinceMs });
    } else if (!isSameIncarnation(life.server, listed)) this.#lives.delete(id);
    else if (listed.isDraining) this.#lives.set(id, { ...life, confirmedAtMs: nowMs });
    else if (listed.startedAtMs === undefined && sinceMs > LATE_WRITE_MS) this.#lives.delete(id);
  }
}
