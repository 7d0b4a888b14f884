import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, StoredRow } from '../ports.js';
import type { CountedStore } from './counted-store.js';
import { DependencyState } from './dependency-state.js';
import { GrowingPause } from './growing-pause.js';
import type { OwnReadReason } from './own-read.js';
import { OwnReads } from './own-reads.js';
import type { ServerList } from './server-list.js';
import type { StoreTurns } from './store-turns.js';
import { UnusableEntries } from './unusable-entries.js';
import { Wakeup } from './wakeup.js';

/**
 * Pause between reads of the list, as a share of the time in which word of a leaving server must
 * have come. The list changes with every heartbeat, so waiting for a change saves no calls.
 */
const READ_PERIOD_SHARE = 0.4;
/** Where word must come at once, the list is still read no more often than this. */
const SHORTEST_READ_PERIOD_MS: Milliseconds = 100;
/** The same for a host that goes by the word of those that read: older than this, it asks itself. */
const OWN_READ_AFTER_SHARE = 0.75;
/**
 * Pauses after failed reads. The watch of the configuration asks more often and tells when the
 * store is back.
 */
const FIRST_FAILURE_PAUSE_MS: Milliseconds = 300;
const LONGEST_FAILURE_PAUSE_MS: Milliseconds = 2400;
/** Pause between reads while servers may come back that lapsed during an outage. */
const RETURN_PAUSE_MS: Milliseconds = 300;

/** What the watch needs. */
export interface ServerWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: CountedStore;
  readonly rows: PlatformRows;
  readonly list: ServerList;
  readonly knowledge: StoreSyncState;
  readonly turns: StoreTurns;
  /** Servers that leave get nothing new this long after the store took their word. */
  readonly withinMs: Milliseconds;
  /** Called when the list has changed. */
  readonly onChange: () => void;
}

/** Reads the list of backend servers again and again, or goes by the word of peers that do. */
export class ServerWatch {
  #isStopped = false;
  readonly #ownReads: OwnReads;
  readonly #state: DependencyState;
  readonly #wakeup: Wakeup;
  readonly #failurePause = new GrowingPause(FIRST_FAILURE_PAUSE_MS, LONGEST_FAILURE_PAUSE_MS);

  readonly #unusable: UnusableEntries;

  constructor(readonly parts: ServerWatchParts) {
    this.#unusable = new UnusableEntries(parts.log);
    this.#state = new DependencyState(parts.clock, parts.log, 'store.servers');
    this.#wakeup = new Wakeup(parts.clock);
    const { clock, knowledge, list, turns, withinMs } = parts;
    this.#ownReads = new OwnReads(clock, turns, () => ({
      isKnown: list.isKnown,
      behindForMs: knowledge.isListBehind ? knowledge.behindForMs : 0,
      wordAgeMs: knowledge.listAgeMs,
      oldAfterMs: withinMs * OWN_READ_AFTER_SHARE,
    }));
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#isStopped) await this.#wakeup.sleep(await this.step());
  }

  /** Ends `run` after the present step and pause. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Ends the present pause, as a peer knows another list. */
  wake(): void {
    if (this.#reason) this.#wakeup.wake();
  }

  /** Reads once; the pause until the next read. */
  async step(): Promise<Milliseconds> {
    const { store, rows, list, knowledge } = this.parts;
    const reason = this.#reason;
    if (!reason) return this.#ownReads.pauseMs;
    const askedAtMs = this.#ownReads.noteRead();
    const answer = await store.read(rows.serverTable, reason);
    if (answer.isErr) {
      this.#state.onFailure(answer.error.detail);
      list.onStoreAway();
      knowledge.onStoreFailure();
      return this.#failurePause.next();
    }
    this.#state.onSuccess();
    this.#failurePause.reset();
    const before = list.digest;
    const listed = answer.value.rows.flatMap((row) => this.#readRow(row));
    this.#unusable.onListRead();
    list.replace(listed, askedAtMs, answer.value.version);
    knowledge.onListRead();
    if (list.digest !== before) this.parts.onChange();
    if (reason !== 'reader') return this.#ownReads.pauseMs;
    return list.keepsUnlisted ? RETURN_PAUSE_MS : this.#readPeriodMs;
  }

  get #reason(): OwnReadReason | undefined {
    const { knowledge, list } = this.parts;
    // The watch of the configuration tries again, and tells when the store is back.
    if (knowledge.isStoreLost && list.isKnown) return undefined;
    return this.#ownReads.reason;
  }

  get #readPeriodMs(): Milliseconds {
    return Math.max(SHORTEST_READ_PERIOD_MS, this.parts.withinMs * READ_PERIOD_SHARE);
  }

  #readRow({ key, value }: StoredRow): readonly BackendServer[] {
    const server = value && this.parts.rows.parseServer(key, value);
    if (server?.isErr) this.#unusable.note(key, server.error);
    return server?.isOk ? [server.value] : [];
  }
}
