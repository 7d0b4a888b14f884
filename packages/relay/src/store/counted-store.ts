import type { Clock, Milliseconds } from '@poppypond/core';
import type { PrometheusMetrics } from '@poppypond/telemetry';
import type { Result } from 'true-myth';
import type { RowSet, RowStore, StoreFailure } from '../ports.js';
import type { DirectReadReason } from './direct-read.js';
import { repeatUntilResult } from './repeated-read.js';

/** Purpose of a store call. */
export type StoreCallReason = DirectReadReason | 'members' | 'own_row' | 'removal';

/** Calls a store, and counts the calls by operation, result and reason. */
export class CountedStore {
  constructor(
    readonly store: RowStore,
    readonly metrics: PrometheusMetrics,
  ) {}

  /** Reads all rows of a table. */
  read(table: string, reason: StoreCallReason): Promise<Result<RowSet, StoreFailure>> {
    return this.#count('read', reason, this.store.read(table));
  }

  /**
   * Reads all rows of a table that this host does not have yet; calls again while the store leaves
   * the calls unanswered.
   */
  readFirst(
    clock: Clock,
    table: string,
    reason: StoreCallReason,
  ): Promise<Result<RowSet, StoreFailure>> {
    return repeatUntilResult(clock, () => this.read(table, reason));
  }

  /**
   * Returns the rows of a table that changed after `version`; the store waits up to `waitMs` for a
   * change.
   */
  changes(
    table: string,
    { version, waitMs }: { readonly version: number; readonly waitMs: Milliseconds },
    reason: StoreCallReason,
  ): Promise<Result<RowSet, StoreFailure>> {
    return this.#count('changes', reason, this.store.changes(table, version, waitMs));
  }

  /** Writes a row. */
  put(
    table: string,
    key: string,
    value: Buffer,
    reason: StoreCallReason,
  ): Promise<Result<number, StoreFailure>> {
    return this.#count('put', reason, this.store.put(table, key, value));
  }

  /** Removes a row. */
  remove(
    table: string,
    key: string,
    reason: StoreCallReason,
  ): Promise<Result<number, StoreFailure>> {
    return this.#count('remove', reason, this.store.remove(table, key));
  }

  async #count<Value>(
    operation: string,
    reason: StoreCallReason,
    call: Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    const answer = await call;
    const result = answer.isOk ? 'ok' : answer.error.kind;
    this.metrics.count('poppypond_store_calls_total', { operation, result, reason });
    return answer;
  }
}
