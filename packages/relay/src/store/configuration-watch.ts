import type { Clock, Milliseconds } from '@poppypond/core';
import type { ActiveConfiguration, Freshness, RouteTable } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import type { Result } from 'true-myth';
import type { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, RowSet, StoreFailure } from '../ports.js';
import type { CountedStore } from './counted-store.js';
import type { Evacuations } from './evacuations.js';
import { DependencyState } from './dependency-state.js';
import { ExponentialBackoff } from './exponential-backoff.js';
import type { DirectReadReason } from './direct-read.js';
import { DirectReadSchedule } from './direct-read-schedule.js';
import { StoreClock } from './store-clock.js';
import type { StoreTurns } from './store-turns.js';
import { InterruptibleSleep } from './interruptible-sleep.js';
import type { UnexpectedErrors } from '../unexpected-errors.js';

/**
 * Duration of a long poll, as a share of the time within which a new version must be active. Each
 * poll also confirms the configuration as the newest.
 */
const LONG_POLL_SHARE = 0.35;
/**
 * Minimum duration of a long poll, which limits the rate of store calls if the bound is very short.
 */
const MIN_LONG_POLL_MS: Milliseconds = 100;
/**
 * A host that relies on store readers reads the store itself once its last confirmation is older
 * than this share of the bound.
 */
const DIRECT_READ_AFTER_SHARE = 0.8;
/**
 * Backoff after failed calls: each call costs, and a host must be in contact again within 3 s after
 * an outage.
 */
const INITIAL_BACKOFF_MS: Milliseconds = 250;
const MAX_BACKOFF_MS: Milliseconds = 1200;

/** Bounds the length of a log line. */
const MAX_LOGGED_ENTRIES = 5;

/** Dependencies of ConfigurationWatch. */
export interface ConfigurationWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly unexpectedErrors: UnexpectedErrors;
  readonly store: CountedStore;
  readonly rows: PlatformRows;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly syncState: StoreSyncState;
  readonly evacuations: Evacuations;
  readonly turns: StoreTurns;
  /** Bound on the time from the store accepting a new version to its activation on this host. */
  readonly withinMs: Milliseconds;
  /** Called after each change of the active configuration. */
  readonly onChange: (table: RouteTable) => void;
}

/**
 * Keeps the newest configuration active, and confirmed as the newest, while the store responds. The
 * rows of evacuated zones are in the same table, so that the confirmation covers them too.
 */
export class ConfigurationWatch {
  #version: number | undefined;
  readonly #directReads: DirectReadSchedule;
  #isStopped = false;
  readonly #storeClock: StoreClock;
  readonly #storeState: DependencyState;
  readonly #sleeper: InterruptibleSleep;
  readonly #backoff = new ExponentialBackoff(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS);

  constructor(readonly parts: ConfigurationWatchParts) {
    this.#storeClock = new StoreClock(parts.clock);
    this.#storeState = new DependencyState(parts.clock, parts.log, 'store.configuration');
    this.#sleeper = new InterruptibleSleep(parts.clock);
    const { clock, activeConfiguration, evacuations, syncState, turns, withinMs } = parts;
    this.#directReads = new DirectReadSchedule(clock, turns, () => ({
      isKnown: activeConfiguration.table !== undefined && evacuations.isKnown,
      behindForMs: syncState.isConfigurationBehind ? syncState.behindForMs : 0,
      confirmedAgeMs: syncState.configurationAgeMs,
      maxAgeMs: withinMs * DIRECT_READ_AFTER_SHARE,
    }));
  }

  /** Runs until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      try {
        await this.step();
      } catch (error) {
        this.parts.unexpectedErrors.report('configuration_watch', error);
        // What was read may not have been applied, so it is read again.
        this.#version = undefined;
        await this.#sleeper.sleep(this.#backoff.next());
      }
    }
  }

  /** Ends `run` after the current step and its pause. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Ends the current pause if a read is due now, as when a peer has a newer version. */
  wake(): void {
    if (this.#directReads.reason) this.#sleeper.wake();
  }

  /** Applies a configuration read by a peer. Does not confirm that it is the newest. */
  applyFromPeer(value: Buffer): void {
    this.#apply(value);
  }

  /** Calls the store once and applies the result. */
  async step(): Promise<void> {
    const { rows, store } = this.parts;
    const { reason } = this.#directReads;
    if (!reason) return this.#sleeper.sleep(this.#directReads.pauseMs);
    const askedAtMs = this.#directReads.recordRead();
    const answer =
      this.#version === undefined
        ? await this.#readAll(reason)
        : await store.changes(
            rows.configurationTable,
            { version: this.#version, waitMs: this.#longPollMs(reason) },
            reason,
          );
    if (answer.isOk) return this.#applyRows(answer.value, askedAtMs);
    if (answer.error.kind === 'history_gone') {
      this.parts.log.info('history_gone', { table: rows.configurationTable, after: this.#version });
      this.#version = undefined;
      return;
    }
    this.#storeState.onFailure(answer.error.detail);
    this.parts.syncState.onStoreFailure();
    // Changes missed meanwhile may be gone from the history; a full read is always correct.
    this.#version = undefined;
    this.#storeClock.reset();
    await this.#sleeper.sleep(this.#backoff.next());
  }

  #readAll(reason: DirectReadReason): Promise<Result<RowSet, StoreFailure>> {
    const { activeConfiguration, clock, rows, store } = this.parts;
    return activeConfiguration.table === undefined
      ? store.readFirst(clock, rows.configurationTable, reason)
      : store.read(rows.configurationTable, reason);
  }

  /** Only store readers use long polls. */
  #longPollMs(reason: DirectReadReason): Milliseconds {
    if (reason !== 'reader') return 0;
    return Math.max(MIN_LONG_POLL_MS, Math.round(this.parts.withinMs * LONG_POLL_SHARE));
  }

  #applyRows(set: RowSet, askedAtMs: Milliseconds): void {
    const { activeConfiguration, rows } = this.parts;
    this.#storeState.onSuccess();
    this.#backoff.reset();
    // Even if the configuration in these rows is unreadable, evacuations must be applied.
    this.parts.evacuations.applyRead(this.#version, set, askedAtMs);
    this.#version = set.version;
    const row = set.rows.findLast(({ key }) => key === rows.configurationKey);
    if (row?.value) activeConfiguration.recordNewestReadable(this.#apply(row.value));
    // A later read without this row means that the unreadable configuration is still the newest.
    if (activeConfiguration.isNewestUnreadable) return;
    this.parts.syncState.onConfigurationRead(askedAtMs);
    if (activeConfiguration.table === undefined) return;
    this.parts.freshness.confirm(this.#storeClock.dateResponse(askedAtMs, set.storeNowMs));
  }

  /**
   * Returns false if the value cannot be decoded; the active configuration is then not the newest.
   */
  #apply(value: Buffer): boolean {
    const { activeConfiguration, log, onChange } = this.parts;
    const decoded = this.parts.rows.parseConfiguration(value);
    if (decoded.isErr) {
      log.error('configuration_unreadable', {
        bytes: value.length,
        in_force: activeConfiguration.version,
        why: decoded.error,
      });
      return false;
    }
    const { configuration, unreadableEntries } = decoded.value;
    const before = activeConfiguration.version;
    const didRequireKeys = activeConfiguration.table?.configuration.requiresKeys ?? false;
    if (!activeConfiguration.apply(configuration)) return true;
    log.warn('configuration_in_force', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces.length,
      keys_required: configuration.requiresKeys,
    });
    if (didRequireKeys && !configuration.requiresKeys)
      log.warn('keys_no_longer_required', { version: configuration.version, before });
    if (unreadableEntries.length > 0) {
      log.error('configuration_entries_unreadable', {
        version: configuration.version,
        entries: unreadableEntries.length,
        first: unreadableEntries.slice(0, MAX_LOGGED_ENTRIES).join('; '),
      });
    }
    this.parts.syncState.onConfigurationActivated(value);
    if (activeConfiguration.table) onChange(activeConfiguration.table);
    return true;
  }
}
