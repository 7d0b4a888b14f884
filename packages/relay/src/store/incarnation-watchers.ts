import { isSameIncarnation } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';

interface Watcher {
  readonly server: BackendServer;
  readonly onEnded: () => void;
}

/** Notifies watchers of a server's incarnation once it is known to have ended. */
export class IncarnationWatchers {
  readonly #watchers = new Map<string, Set<Watcher>>();

  /**
   * Calls `onEnded` once another incarnation of `server` is known; the returned function cancels
   * that.
   */
  add(server: BackendServer, onEnded: () => void): () => void {
    const watcher = { server, onEnded };
    const watchers = this.#watchers.get(server.id) ?? new Set();
    watchers.add(watcher);
    this.#watchers.set(server.id, watchers);
    return () => {
      watchers.delete(watcher);
      if (watchers.size === 0 && this.#watchers.get(server.id) === watchers) {
        this.#watchers.delete(server.id);
      }
    };
  }

  /** Notifies the watchers of other incarnations under the id of `server`, the current one. */
  announce(server: BackendServer): void {
    for (const watcher of [...(this.#watchers.get(server.id) ?? [])]) {
      if (isSameIncarnation(watcher.server, server)) continue;
      this.#watchers.get(server.id)?.delete(watcher);
      watcher.onEnded();
    }
  }
}
