import { isSameIncarnation } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';

interface Watcher {
  readonly server: BackendServer;
  readonly onEnded: () => void;
}

/** Those who depend on one life of a server, and are told when it is known to be over. */
export class IncarnationWatchers {
  readonly #watchers = new Map<string, Set<Watcher>>();

  /** `onOver` is called once another life of `server` is known; the function returned ends that. */
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

  /** `server` is the present life under its id. */
  announce(server: BackendServer): void {
    for (const watcher of [...(this.#watchers.get(server.id) ?? [])]) {
      if (isSameIncarnation(watcher.server, server)) continue;
      this.#watchers.get(server.id)?.delete(watcher);
      watcher.onEnded();
    }
  }
}
