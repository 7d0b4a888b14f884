import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface LeavingIncarnation {
  readonly server: BackendServer;
  readonly announcedAtMs: Milliseconds;
  /**
   * When the server was last listed as draining or not listed; undefined if neither has happened
   * yet.
   */
  readonly confirmedAtMs?: Milliseconds;
  /** When it was first missing from the list. */
  readonly unlistedSinceMs?: Milliseconds;
}

/**
 * A "ready" entry that the server wrote before it announced its leaving may appear late: a write
 * whose answer was lost may take effect 6 s later, and an entry expires after three missed writes,
 * 1.2 s apart.
 */
const MAX_WRITE_DELAY_MS: Milliseconds = 10_000;
/**
 * An incarnation that is not listed for this long has ended; servers serve for some seconds after
 * their entries expire.
 */
const UNLISTED_RETENTION_MS: Milliseconds = 60_000;

/**
 * Incarnations of servers that announced that they are leaving. The announcement overrides listed
 * entries that say otherwise, for as long as the incarnation lasts: the list may be arbitrarily old
 * while the store is unreachable.
 */
export class LeavingIncarnations {
  readonly #incarnations = new Map<string, LeavingIncarnation>();

  get size(): number {
    return this.#incarnations.size;
  }

  /**
   * Records an announcement made to this host or another one; returns false if it is already known.
   */
  add(server: BackendServer, announcedAtMs: Milliseconds): boolean {
    if (this.announcedAtMs(server) !== undefined) return false;
    this.#incarnations.set(server.id, { server, announcedAtMs });
    return true;
  }

  /** Returns when this incarnation first announced that it is leaving; undefined if it has not. */
  announcedAtMs(server: BackendServer): Milliseconds | undefined {
    const known = this.#incarnations.get(server.id);
    return known && isSameIncarnation(known.server, server) ? known.announcedAtMs : undefined;
  }

  /**
   * Applies the current server list. If a server reports its start time, only another start time
   * means a new incarnation. Otherwise a server has also restarted if it is listed as ready more
   * than `MAX_WRITE_DELAY_MS` after it was last listed as draining or first missing.
   */
  onListed(listed: readonly BackendServer[], nowMs: Milliseconds): void {
    if (this.#incarnations.size === 0) return;
    const byId = new Map(listed.map((server) => [server.id, server]));
    for (const [id, entry] of [...this.#incarnations])
      this.#reconcile(id, entry, byId.get(id), nowMs);
  }

  #reconcile(
    id: string,
    entry: LeavingIncarnation,
    listed: BackendServer | undefined,
    nowMs: Milliseconds,
  ): void {
    const { confirmedAtMs = nowMs, unlistedSinceMs = nowMs } = entry;
    const sinceMs = nowMs - Math.min(confirmedAtMs, unlistedSinceMs);
    if (listed === undefined) {
      if (nowMs - unlistedSinceMs > UNLISTED_RETENTION_MS) this.#incarnations.delete(id);
      else this.#incarnations.set(id, { ...entry, confirmedAtMs: nowMs, unlistedSinceMs });
    } else if (!isSameIncarnation(entry.server, listed)) this.#incarnations.delete(id);
    else if (listed.isDraining) this.#incarnations.set(id, { ...entry, confirmedAtMs: nowMs });
    else if (listed.startedAtMs === undefined && sinceMs > MAX_WRITE_DELAY_MS)
      this.#incarnations.delete(id);
  }
}
