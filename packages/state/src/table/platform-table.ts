import { parseJson } from '@poppypond/core';
import type { Result } from 'true-myth';
import { z } from 'zod';
import type { PlatformConnection } from './platform-connection.js';
import type {
  StoreFault,
  TableRow,
  TableStore,
  TableTransaction,
  TransactionResult,
} from './table-store.js';

const rowSchema = z.object({ key: z.string(), version: z.number(), value: z.unknown() });
const rowReplySchema = z.object({ row: rowSchema.nullable() });
const scanReplySchema = z.object({ rows: z.array(rowSchema) });
const appliedSchema = z.object({ version: z.number() });
const conflictSchema = z.object({ failed: z.array(z.object({ key: z.string() })) });

const SCAN_LIMIT = 1000;
const OK = 200;
const CONFLICT = 409;

/** The platform's table over HTTP. */
export class PlatformTable implements TableStore {
  constructor(readonly connection: PlatformConnection) {}

  async get(key: string): Promise<Result<TableRow | undefined, StoreFault>> {
    const path = `/table/row?key=${encodeURIComponent(key)}`;
    const reply = await this.connection.call({ method: 'GET' }, path, [OK]);
    return reply.map(({ body }) => rowReplySchema.parse(parseJson(body)).row ?? undefined);
  }

  async scan(
    prefix: string,
    after = '',
    limit = SCAN_LIMIT,
  ): Promise<Result<readonly TableRow[], StoreFault>> {
    const query = new URLSearchParams({ prefix, after, limit: String(limit) });
    const path = `/table/scan?${query.toString()}`;
    const reply = await this.connection.call({ method: 'GET' }, path, [OK]);
    return reply.map(({ body }) => scanReplySchema.parse(parseJson(body)).rows);
  }

  async transact(transaction: TableTransaction): Promise<Result<TransactionResult, StoreFault>> {
    const call = { method: 'POST', body: JSON.stringify(transaction) };
    const reply = await this.connection.call(call, '/table/transact', [OK, CONFLICT]);
    return reply.map(({ status, body }): TransactionResult => {
      const value = parseJson(body);
      if (status === OK) return { kind: 'applied', version: appliedSchema.parse(value).version };
      const keys = conflictSchema.parse(value).failed.map((failed) => failed.key);
      return { kind: 'conflict', keys };
    });
  }
}

/** Reads all rows whose key starts with `prefix` and comes after `after`, page by page. */
export async function scanAll(
  table: TableStore,
  prefix: string,
  after = '',
): Promise<Result<readonly TableRow[], StoreFault>> {
  const first = await table.scan(prefix, after);
  if (first.isErr || first.value.length < SCAN_LIMIT) return first;
  const rest = await scanAll(table, prefix, first.value.at(-1)?.key);
  return rest.map((rows) => [...first.value, ...rows]);
}
