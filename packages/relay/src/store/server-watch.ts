import type { Clock, Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import type { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, ServerEntry, StoredRow } from '../ports.js';
import type { CountedStore } from './counted-store.js';
import { DependencyState } from './dependency-state.js';
import { ExponentialBackoff } from './exponential-backoff.js';
import type { DirectReadReason } from './direct-read.js';
import { DirectReadSchedule } from './direct-read-schedule.js';
import type { ServerList } from './server-list.js';
import type { StoreTurns } from './store-turns.js';
import { UnusableEntries } from './unusable-entries.js';
import { InterruptibleSleep } from './interruptible-sleep.js';
import type { UnexpectedErrors } from '../unexpected-errors.js';

/**
 * Interval between reads of the list, as a share of the bound within which a server's leaving must
 * be known. The list changes with every heartbeat, so long polls would save no calls.
 */
const READ_PERIOD_SHARE = 0.4;
/** Minimum interval between reads if the bound is very short. */
const MIN_READ_PERIOD_MS: Milliseconds = 100;
/**
 * The same share for a host that relies on store readers: once its list is older than this, it
 * reads the store itself.
 */
const DIRECT_READ_AFTER_SHARE = 0.75;
/**
 * Backoff after failed reads. The configuration watch calls more often, and wakes this watch when
 * the store is back.
 */
const INITIAL_BACKOFF_MS: Milliseconds = 300;
const MAX_BACKOFF_MS: Milliseconds = 2400;
/** Interval between reads while servers that expired during an outage may be listed again. */
const RECOVERY_READ_PERIOD_MS: Milliseconds = 300;

/** Dependencies of ServerWatch. */
export interface ServerWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly unexpectedErrors: UnexpectedErrors;
  readonly store: CountedStore;
  readonly rows: PlatformRows;
  readonly list: ServerList;
  readonly syncState: StoreSyncState;
  readonly turns: StoreTurns;
  /**
   * Bound on the time from the store accepting that a server leaves to this host sending it nothing
   * new.
   */
  readonly withinMs: Milliseconds;
  /** Called with the entries of each list that this host reads, after the list was applied. */
  readonly onEntries?: (entries: readonly ServerEntry[]) => void;
  /** Called after the list has changed. */
  readonly onChange: () => void;
}

/** Polls the list of backend servers, or relies on peers that do. */
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

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) await this.#sleeper.sleep(await this.#tryStep());
  }

  /** Ends `run` after the current step and pause. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Ends the current pause if a read is due now, as when a peer has another list. */
  wake(): void {
    if (this.#reason) this.#sleeper.wake();
  }

  async #tryStep(): Promise<Milliseconds> {
    try {
      return await this.step();
    } catch (error) {
      this.parts.unexpectedErrors.report('server_watch', error);
      return this.#backoff.next();
    }
  }

  /** Reads once if due, and returns the pause until the next step. */
  async step(): Promise<Milliseconds> {
    const { store, rows, list, syncState } = this.parts;
    const reason = this.#reason;
    if (!reason) return this.#directReads.pauseMs;
    const askedAtMs = this.#directReads.recordRead();
    const answer = list.isKnown
      ? await store.read(rows.serverTable, reason)
      : await store.readFirst(this.parts.clock, rows.serverTable, reason);
    if (answer.isErr) {
      this.#storeState.onFailure(answer.error.detail);
      list.onStoreUnavailable();
      syncState.onStoreFailure();
      return this.#backoff.next();
    }
    this.#storeState.onSuccess();
    this.#backoff.reset();
    const before = list.digest;
    const entries = answer.value.rows.flatMap((row) => this.#readRow(row));
    const listed = entries.map(({ server }) => server);
    this.#unusable.onListRead();
    list.replace(listed, askedAtMs, answer.value.version);
    this.parts.onEntries?.(entries);
    syncState.onListRead();
    if (list.digest !== before) this.parts.onChange();
    if (reason !== 'reader') return this.#directReads.pauseMs;
    return list.keepsUnlisted ? RECOVERY_READ_PERIOD_MS : this.#readPeriodMs;
  }

  get #reason(): DirectReadReason | undefined {
    const { syncState, list } = this.parts;
    // The configuration watch retries, and wakes this watch when the store is back.
    if (syncState.isStoreLost && list.isKnown) return undefined;
    return this.#directReads.reason;
  }

  get #readPeriodMs(): Milliseconds {
    return Math.max(MIN_READ_PERIOD_MS, this.parts.withinMs * READ_PERIOD_SHARE);
  }

  #readRow({ key, value }: StoredRow): readonly ServerEntry[] {
    const entry = value && this.parts.rows.parseServer(key, value);
    if (entry?.isErr) this.#unusable.record(key, entry.error);
    return entry?.isOk ? [entry.value] : [];
  }
}
