import type { Json } from '@poppypond/core';
import type { Result } from 'true-myth';

/** A row of the platform's table. */
export interface TableRow {
  readonly key: string;
  /** Increases with each write; 0 stands for a row that does not exist. */
  readonly version: number;
  readonly value: unknown;
}

/**
 * An atomic transaction: if all checked rows have the given version, all writes are applied
 * together.
 */
export interface TableTransaction {
  readonly checks?: readonly { readonly key: string; readonly version: number }[];
  readonly puts?: readonly { readonly key: string; readonly value: Json }[];
  readonly deletes?: readonly string[];
}

/**
 * `applied` with the version of the written rows, or `conflict` with the keys whose check failed.
 */
export type TransactionResult =
  | { readonly kind: 'applied'; readonly version: number }
  | { readonly kind: 'conflict'; readonly keys: readonly string[] };

/**
 * Failure of a call to the store. `unavailable`: nothing was changed.
 * `unconfirmed`: a write may have taken effect or may still do so.
 */
export interface StoreFault {
  readonly reason: 'unavailable' | 'unconfirmed';
  readonly detail: string;
}

/** The platform's transactional table. */
export interface TableStore {
  get(key: string): Promise<Result<TableRow | undefined, StoreFault>>;
  /** Rows whose key starts with `prefix` and comes after `after`, in key order. */
  scan(
    prefix: string,
    after?: string,
    limit?: number,
  ): Promise<Result<readonly TableRow[], StoreFault>>;
  transact(transaction: TableTransaction): Promise<Result<TransactionResult, StoreFault>>;
}

/** The platform's object store. */
export interface ObjectStore {
  put(name: string, body: string): Promise<Result<void, StoreFault>>;
  get(name: string): Promise<Result<string | undefined, StoreFault>>;
  list(prefix: string, after?: string): Promise<Result<readonly string[], StoreFault>>;
  remove(name: string): Promise<Result<void, StoreFault>>;
}
