import type { Clock, Milliseconds } from '@poppypond/core';
import type { ActiveConfiguration, Freshness, RouteTable } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import type { StoreSyncState } from '../peers/store-sync-state.js';
import type { PlatformRows, RowSet } from '../ports.js';
import type { CountedStore } from './counted-store.js';
import { DependencyState } from './dependency-state.js';
import { GrowingPause } from './growing-pause.js';
import type { OwnReadReason } from './own-read.js';
import { OwnReads } from './own-reads.js';
import { StoreClock } from './store-clock.js';
import type { StoreTurns } from './store-turns.js';
import { Wakeup } from './wakeup.js';

/**
 * How long the store may hold a question open; the configuration is proved new this often. As a
 * share of the time in which a new version must be in force.
 */
const WAIT_SHARE = 0.35;
/** Where a new version must be in force at once, the store is still asked no more often than this. */
const SHORTEST_WAIT_MS: Milliseconds = 100;
/** A host that goes by the word of those that read asks itself when that is older than this. */
const OWN_READ_AFTER_SHARE = 0.8;
/** Pauses after failed calls: each costs, and a host is to be in touch 3 s after an outage. */
const FIRST_FAILURE_PAUSE_MS: Milliseconds = 250;
const LONGEST_FAILURE_PAUSE_MS: Milliseconds = 1200;

/** What the watch needs. */
export interface ConfigurationWatchParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly store: CountedStore;
  readonly rows: PlatformRows;
  readonly inForce: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly knowledge: StoreSyncState;
  readonly turns: StoreTurns;
  /** A new version is in force this long after the store took it. */
  readonly withinMs: Milliseconds;
  /** Called after each change of what is in force. */
  readonly onChange: (table: RouteTable) => void;
}

/** Keeps the newest configuration in force, and proved to be the newest, while the store answers. */
export class ConfigurationWatch {
  #version: number | undefined;
  readonly #ownReads: OwnReads;
  #isStopped = false;
  readonly #storeClock: StoreClock;
  readonly #state: DependencyState;
  readonly #wakeup: Wakeup;
  readonly #failurePause = new GrowingPause(FIRST_FAILURE_PAUSE_MS, LONGEST_FAILURE_PAUSE_MS);

  constructor(readonly parts: ConfigurationWatchParts) {
    this.#storeClock = new StoreClock(parts.clock);
    this.#state = new DependencyState(parts.clock, parts.log, 'store.configuration');
    this.#wakeup = new Wakeup(parts.clock);
    const { clock, inForce, knowledge, turns, withinMs } = parts;
    this.#ownReads = new OwnReads(clock, turns, () => ({
      isKnown: inForce.table !== undefined,
      behindForMs: knowledge.isConfigurationBehind ? knowledge.behindForMs : 0,
      wordAgeMs: knowledge.configurationAgeMs,
      oldAfterMs: withinMs * OWN_READ_AFTER_SHARE,
    }));
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    while (!this.#isStopped) await this.step();
  }

  /** Ends `run` after the present step and its pause. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Ends the present pause, as a peer knows a newer version. */
  wake(): void {
    if (this.#ownReads.reason) this.#wakeup.wake();
  }

  /** Takes in a configuration that a peer has read; whether it is the newest must be told otherwise. */
  takeTold(value: Buffer): void {
    this.#apply(value);
  }

  /** Asks once and takes in the answer. */
  async step(): Promise<void> {
    const { rows, store } = this.parts;
    const { reason } = this.#ownReads;
    if (!reason) return this.#wakeup.sleep(this.#ownReads.pauseMs);
    const askedAtMs = this.#ownReads.noteRead();
    const answer =
      this.#version === undefined
        ? await store.read(rows.configurationTable, reason)
        : await store.changes(
            rows.configurationTable,
            { version: this.#version, waitMs: this.#waitMs(reason) },
            reason,
          );
    if (answer.isOk) return this.#take(answer.value, askedAtMs);
    if (answer.error.kind === 'history_gone') {
      this.parts.log.info('history_gone', { table: rows.configurationTable, after: this.#version });
      this.#version = undefined;
      return;
    }
    this.#state.onFailure(answer.error.detail);
    this.parts.knowledge.onStoreFailure();
    // What was missed meanwhile may be gone from the history; a whole read is never wrong.
    this.#version = undefined;
    this.#storeClock.reset();
    await this.#wakeup.sleep(this.#failurePause.next());
  }

  /** Only those that read for all wait for a change. */
  #waitMs(reason: OwnReadReason): Milliseconds {
    if (reason !== 'reader') return 0;
    return Math.max(SHORTEST_WAIT_MS, Math.round(this.parts.withinMs * WAIT_SHARE));
  }

  #take(set: RowSet, askedAtMs: Milliseconds): void {
    const { rows } = this.parts;
    this.#state.onSuccess();
    this.#failurePause.reset();
    this.#version = set.version;
    const row = set.rows.findLast(({ key }) => key === rows.configurationKey);
    if (row?.value && !this.#apply(row.value)) return;
    this.parts.knowledge.onConfigurationRead(askedAtMs);
    if (this.parts.inForce.table === undefined) return;
    this.parts.freshness.confirm(this.#storeClock.dateAnswer(askedAtMs, set.storeNowMs));
  }

  /** False where the value can't be read: then what is in force is not the newest. */
  #apply(value: Buffer): boolean {
    const { inForce, log, onChange } = this.parts;
    const configuration = this.parts.rows.parseConfiguration(value);
    if (!configuration) {
      log.error('configuration_unreadable', { bytes: value.length, in_force: inForce.version });
      return false;
    }
    const before = inForce.version;
    if (!inForce.apply(configuration)) return true;
    log.warn('configuration_in_force', {
      version: configuration.version,
      before,
      routes: configuration.routes.length,
      workspaces: configuration.workspaces.length,
    });
    this.parts.knowledge.onConfigurationActivated(value);
    if (inForce.table) onChange(inForce.table);
    return true;
  }
}
