import type { Milliseconds } from '@poppypond/core';
import type { Measures } from '@poppypond/telemetry';
import type { Result } from 'true-myth';
import type { RowSet, RowStore, StoreFailure } from '../ports.js';

/** Counts the calls to a store by operation and result. */
export class CountedStore implements RowStore {
  constructor(
    readonly store: RowStore,
    readonly measures: Measures,
  ) {}

  read(table: string): Promise<Result<RowSet, StoreFailure>> {
    return this.#count('read', this.store.read(table));
  }

  changes(
    table: string,
    version: number,
    waitMs: Milliseconds,
  ): Promise<Result<RowSet, StoreFailure>> {
    return this.#count('changes', this.store.changes(table, version, waitMs));
  }

  put(table: string, key: string, value: Buffer): Promise<Result<number, StoreFailure>> {
    return this.#count('put', this.store.put(table, key, value));
  }

  remove(table: string, key: string): Promise<Result<number, StoreFailure>> {
    return this.#count('remove', this.store.remove(table, key));
  }

  async #count<Value>(
    operation: string,
    call: Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    const answer = await call;
    const result = answer.isOk ? 'ok' : answer.error.kind;
    this.measures.count('poppypond_store_calls_total', { operation, result });
    return answer;
  }
}
