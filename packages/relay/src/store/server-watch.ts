import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { PlatformRows, RowStore, StoredRow } from '../ports.js';
import { DependencyState } from './dependency-state.js';
import type { ServerList } from './server-list.js';

/**
 * Pause between reads of the list. Servers that leave must get nothing new two seconds after the
 * store took their word; the list changes with every heartbeat, so waiting for a change saves no calls.
 */
const READ_PERIOD_MS: Milliseconds = 800;
/** Pause after a failed read. */
const FAILURE_PAUSE_MS: Milliseconds = 300;

/** What the watch needs. */
export interface ServerWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: RowStore;
  readonly rows: PlatformRows;
  readonly list: ServerList;
}

/** Reads the list of backend servers again and again. */
export class ServerWatch {
  #isStopped = false;
  readonly #state: DependencyState;

  constructor(readonly parts: ServerWatchParts) {
    this.#state = new DependencyState(parts.clock, parts.log, 'store.servers');
  }

  async run(): Promise<void> {
    while (!this.#isStopped) await delay(this.parts.clock, await this.step());
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reads once; the pause until the next read. */
  async step(): Promise<Milliseconds> {
    const { store, rows, list } = this.parts;
    const answer = await store.read(rows.serverTable);
    if (answer.isErr) {
      this.#state.onFailure(answer.error.detail);
      list.onStoreAway();
      return FAILURE_PAUSE_MS;
    }
    this.#state.onSuccess();
    list.replace(answer.value.rows.flatMap((row) => this.#readRow(row)));
    return READ_PERIOD_MS;
  }

  #readRow({ key, value }: StoredRow): readonly BackendServer[] {
    const server = value && this.parts.rows.readServer(key, value);
    return server ? [server] : [];
  }
}
