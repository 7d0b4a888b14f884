import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, StoredRow } from '../ports.js';
import type { CountedStore } from './counted-store.js';
import { DependencyState } from './dependency-state.js';
import { ExponentialBackoff } from './exponential-backoff.js';
import type { DirectReadReason } from './direct-read.js';
import { DirectReadSchedule } from './direct-read-schedule.js';
import type { ServerList } from './server-list.js';
import type { StoreTurns } from './store-turns.js';
import { UnusableEntries } from './unusable-entries.js';
import { InterruptibleSleep } from './interruptible-sleep.js';

/**
 * Pause between reads of the list, as a share of the time in which word of a leaving server must
 * have come. The list changes with every heartbeat, so waiting for a change saves no calls.
 */
const READ_PERIOD_SHARE = 0.4;
/** Where word must come at once, the list is still read no more often than this. */
const MIN_READ_PERIOD_MS: Milliseconds = 100;
/** The same for a host that goes by the word of those that read: older than this, it asks itself. */
const DIRECT_READ_AFTER_SHARE = 0.75;
/**
 * Pauses after failed reads. The watch of the configuration asks more often and tells when the
 * store is back.
 */
const INITIAL_BACKOFF_MS: Milliseconds = 300;
const MAX_BACKOFF_MS: Milliseconds = 2400;
/** Pause between reads while servers may come back that lapsed during an outage. */
const RECOVERY_READ_PERIOD_MS: Milliseconds = 300;

/** What the watch needs. */
export interface ServerWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: CountedStore;
  readonly rows: PlatformRows;
  readonly list: ServerList;
  readonly syncState: StoreSyncState;
  readonly turns: StoreTurns;
  /** Servers that leave get nothing new this long after the store took their word. */
  readonly withinMs: Milliseconds;
  /** Called when the list has changed. */
  readonly onChange: () => void;
}

/** Reads the list of backend servers again and again, or goes by the word of peers that do. */
export class ServerWatch {
  #isStopped = false;
  readonly #directReads: DirectReadSchedule;
  readonly #storeState: DependencyState;
  readonly #sleeper: InterruptibleSleep;
  readonly #backoff = new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);

  readonly #unusable: UnusableEntries;

  constructor(readonly parts: ServerWatchParts) {
    this.#unusable = new UnusableEntries(parts.log);
    this.#storeState = new DependencyState(parts.clock, parts.log, 'store.servers');
    this.#sleeper = new InterruptibleSleep(parts.clock);
    const { clock, syncState, list, turns, withinMs } = parts;
    this.#directReads = new DirectReadSchedule(clock, turns, () => ({
      isKnown: list.isKnown,
      behindForMs: syncState.isListBehind ? syncState.behindForMs : 0,
      confirmedAgeMs: syncState.listAgeMs,
      maxAgeMs: withinMs * DIRECT_READ_AFTER_SHARE,
    }));
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#isStopped) await this.#sleeper.sleep(await this.step());
  }

  /** Ends `run` after the present step and pause. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Ends the present pause, as a peer knows another list. */
  wake(): void {
    if (this.#reason) this.#sleeper.wake();
  }

  /** Reads once; the pause until the next read. */
  async step(): Promise<Milliseconds> {
    const { store, rows, list, syncState } = this.parts;
    const reason = this.#reason;
    if (!reason) return this.#directReads.pauseMs;
    const askedAtMs = this.#directReads.recordRead();
    const answer = await store.read(rows.serverTable, reason);
    if (answer.isErr) {
      this.#storeState.onFailure(answer.error.detail);
      list.onStoreUnavailable();
      syncState.onStoreFailure();
      return this.#backoff.next();
    }
    this.#storeState.onSuccess();
    this.#backoff.reset();
    const before = list.digest;
    const listed = answer.value.rows.flatMap((row) => this.#readRow(row));
    this.#unusable.onListRead();
    list.replace(listed, askedAtMs, answer.value.version);
    syncState.onListRead();
    if (list.digest !== before) this.parts.onChange();
    if (reason !== 'reader') return this.#directReads.pauseMs;
    return list.keepsUnlisted ? RECOVERY_READ_PERIOD_MS : this.#readPeriodMs;
  }

  get #reason(): DirectReadReason | undefined {
    const { syncState, list } = this.parts;
    // The watch of the configuration tries again, and tells when the store is back.
    if (syncState.isStoreLost && list.isKnown) return undefined;
    return this.#directReads.reason;
  }

  get #readPeriodMs(): Milliseconds {
    return Math.max(MIN_READ_PERIOD_MS, this.parts.withinMs * READ_PERIOD_SHARE);
  }

  #readRow({ key, value }: StoredRow): readonly BackendServer[] {
    const server = value && this.parts.rows.parseServer(key, value);
    if (server?.isErr) this.#unusable.note(key, server.error);
    return server?.isOk ? [server.value] : [];
  }
}
