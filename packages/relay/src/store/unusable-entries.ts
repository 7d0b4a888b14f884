import type { Log } from '@poppypond/telemetry';

/** Entries of the list that name no server to use, each told in the log once as long as it stands. */
export class UnusableEntries {
  #logged = new Map<string, string>();
  #found = new Map<string, string>();

  constructor(readonly log: Log) {}

  /** The list has an entry that can't be used. */
  note(id: string, why: string): void {
    this.#found.set(id, why);
    if (this.#logged.get(id) !== why) this.log.warn('server_entry_unusable', { server: id, why });
  }

  /** The list was read to its end; what it no longer holds is told again if it comes back. */
  onListRead(): void {
    this.#logged = this.#found;
    this.#found = new Map();
  }
}
