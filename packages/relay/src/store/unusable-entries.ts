import type { Log } from '@poppypond/telemetry';

/** Logs list entries that describe no usable server, each once while it remains. */
export class UnusableEntries {
  #logged = new Map<string, string>();
  #found = new Map<string, string>();

  constructor(readonly log: Log) {}

  /** Records an unusable entry. */
  record(id: string, why: string): void {
    this.#found.set(id, why);
    if (this.#logged.get(id) !== why) this.log.warn('server_entry_unusable', { server: id, why });
  }

  /** Ends a read of the list; an entry that is gone from the list is logged again if it returns. */
  onListRead(): void {
    this.#logged = this.#found;
    this.#found = new Map();
  }
}
