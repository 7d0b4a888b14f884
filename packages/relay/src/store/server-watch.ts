import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { PlatformRows, RowStore, StoredRow } from '../ports.js';
import { DependencyState } from './dependency-state.js';
import type { SharedKnowledge } from '../peers/shared-knowledge.js';
import type { ServerList } from './server-list.js';

/**
 * Pause between reads of the list. Servers that leave must get nothing new two seconds after the
 * store took their word; the list changes with every heartbeat, so waiting for a change saves no calls.
 */
const READ_PERIOD_MS: Milliseconds = 800;
/** A host that goes by the word of those that read asks for itself when that is older than this. */
const OWN_READ_AFTER_MS: Milliseconds = 1500;
/** Pause before such a host looks again whether it has to ask. */
const LOOK_AGAIN_MS: Milliseconds = 60;
/** Pause after a failed read. */
const FAILURE_PAUSE_MS: Milliseconds = 300;

/** What the watch needs. */
export interface ServerWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: RowStore;
  readonly rows: PlatformRows;
  readonly list: ServerList;
  readonly knowledge: SharedKnowledge;
  /** Whether this host reads for the others. */
  readonly isReader: () => boolean;
  /** Called when the list has changed. */
  readonly onChange: () => void;
}

/** Reads the list of backend servers again and again, or goes by the word of peers that do. */
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
    const { clock, store, rows, list, knowledge } = this.parts;
    if (!this.#mustRead()) return LOOK_AGAIN_MS;
    const askedAtMs = clock.monotonicMs();
    const answer = await store.read(rows.serverTable);
    if (answer.isErr) {
      this.#state.onFailure(answer.error.detail);
      list.onStoreAway();
      knowledge.onStoreFailure();
      return FAILURE_PAUSE_MS;
    }
    this.#state.onSuccess();
    const before = list.digest;
    list.replace(
      answer.value.rows.flatMap((row) => this.#readRow(row)),
      askedAtMs,
    );
    knowledge.onListRead();
    if (list.digest !== before) this.parts.onChange();
    return this.parts.isReader() ? READ_PERIOD_MS : LOOK_AGAIN_MS;
  }

  #mustRead(): boolean {
    const { isReader, knowledge, list } = this.parts;
    if (isReader() || !list.isKnown || knowledge.isListDifferent || list.keepsUnlisted) return true;
    return knowledge.listAgeMs >= OWN_READ_AFTER_MS;
  }

  #readRow({ key, value }: StoredRow): readonly BackendServer[] {
    const server = value && this.parts.rows.readServer(key, value);
    return server ? [server] : [];
  }
}
