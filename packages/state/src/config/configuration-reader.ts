import type { Clock, Milliseconds } from '@poppypond/core';
import type { ObjectChange } from '@poppypond/objects';
import type { TableStore } from '../table/table-store.js';
import type { ConfigurationHolder } from './configuration-holder.js';
import { readChangesAfter, readConfiguration, readHeadRevision } from './read-configuration.js';

/** Changes that a read activated, and the revision they follow. */
export interface ActivatedChanges {
  readonly after: number;
  readonly changes: readonly ObjectChange[];
}

/** Keeps a `ConfigurationHolder` up to date from the table, with one read at a time. */
export class ConfigurationReader {
  #lastResponseAtMs: Milliseconds | undefined;
  #currentRead: Promise<ActivatedChanges | undefined> | undefined;

  constructor(
    readonly holder: ConfigurationHolder,
    readonly table: TableStore,
    readonly clock: Clock,
  ) {}

  /** Monotonic time of the table's last response; undefined before the first. */
  get lastResponseAtMs(): Milliseconds | undefined {
    return this.#lastResponseAtMs;
  }

  /**
   * Reads and activates new changes and returns them. Returns undefined if there are none, if the
   * read failed, or if the whole configuration was read instead of single changes.
   */
  poll(): Promise<ActivatedChanges | undefined> {
    this.#currentRead ??= this.#read().finally(() => {
      this.#currentRead = undefined;
    });
    return this.#currentRead;
  }

  #read(): Promise<ActivatedChanges | undefined> {
    return this.holder.current.revision === 0 ? this.#readAll() : this.#readChanges();
  }

  async #readAll(): Promise<undefined> {
    const read = await readConfiguration(this.table);
    if (read.isErr) return;
    this.#lastResponseAtMs = this.clock.monotonicMs();
    this.holder.replace(read.value);
  }

  async #readChanges(): Promise<ActivatedChanges | undefined> {
    const head = await readHeadRevision(this.table);
    if (head.isErr) return undefined;
    this.#lastResponseAtMs = this.clock.monotonicMs();
    const after = this.holder.current.revision;
    if (head.value <= after) return undefined;
    const changes = await readChangesAfter(this.table, after);
    if (changes.isErr) return undefined;
    const result = this.holder.advance(after, changes.value);
    return result === 'advanced' ? { after, changes: changes.value } : undefined;
  }
}
