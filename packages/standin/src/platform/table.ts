import type { Clock, Json } from '@poppypond/core';
import { z } from 'zod';

const jsonSchema: z.ZodType<Json> = z.json();

/** A transaction. If every check holds, all writes are applied; otherwise none is. */
export const transactionSchema = z.object({
  /** `version` 0 means that the row must not exist. */
  checks: z.array(z.object({ key: z.string(), version: z.int().nonnegative() })).default([]),
  puts: z.array(z.object({ key: z.string(), value: jsonSchema })).default([]),
  deletes: z.array(z.string()).default([]),
});

/** A validated transaction. */
export type Transaction = z.infer<typeof transactionSchema>;

/** A row with the version of its last write. */
export interface Row {
  readonly key: string;
  readonly version: number;
  readonly value: Json;
}

/** A transactional table of versioned rows, ordered by key. */
export class Table {
  readonly #rows = new Map<string, Row>();
  #sortedKeys: readonly string[] | undefined;
  #version = 0;

  constructor(readonly clock: Clock) {}

  get(key: string): Row | undefined {
    return this.#rows.get(key);
  }

  /** Up to `limit` rows in key order whose key starts with `prefix` and sorts after `after`. */
  scan(prefix: string, after: string, limit: number): readonly Row[] {
    this.#sortedKeys ??= [...this.#rows.keys()].sort();
    const rows: Row[] = [];
    for (const key of this.#sortedKeys) {
      if (rows.length >= limit) break;
      if (!key.startsWith(prefix) || key <= after) continue;
      const row = this.#rows.get(key);
      if (row) rows.push(row);
    }
    return rows;
  }

  /**
   * Applies a transaction and returns an empty list, or applies nothing and returns the rows whose
   * check failed, with their current version (0 if the row does not exist).
   */
  transact(
    transaction: Transaction,
  ): readonly { readonly key: string; readonly version: number }[] {
    const failed = transaction.checks
      .map(({ key, version }) => ({ key, wanted: version, version: this.get(key)?.version ?? 0 }))
      .filter((check) => check.version !== check.wanted)
      .map(({ key, version }) => ({ key, version }));
    if (failed.length > 0) return failed;
    this.#version += 1;
    for (const { key, value } of transaction.puts) {
      if (!this.#rows.has(key)) this.#sortedKeys = undefined;
      this.#rows.set(key, { key, version: this.#version, value });
    }
    for (const key of transaction.deletes) {
      if (this.#rows.delete(key)) this.#sortedKeys = undefined;
    }
    return [];
  }

  /** Version of the latest transaction. */
  get version(): number {
    return this.#version;
  }
}
