import { Configuration } from '@poppypond/objects';
import type { ObjectChange, StoredObject } from '@poppypond/objects';
import { Result } from 'true-myth';
import { scanAll } from '../table/platform-table.js';
import type { StoreFault, TableStore } from '../table/table-store.js';
import {
  AUDIT_PREFIX,
  auditKey,
  auditRowSchema,
  HEAD_KEY,
  headSchema,
  OBJECT_PREFIX,
  objectRowSchema,
} from './configuration-rows.js';

/** Reads the revision of the newest accepted change; 0 before the first. */
export async function readHeadRevision(table: TableStore): Promise<Result<number, StoreFault>> {
  const row = await table.get(HEAD_KEY);
  return row.map((head) => (head ? headSchema.parse(head.value).revision : 0));
}

/** Reads the changes accepted after `revision`, in order. */
export async function readChangesAfter(
  table: TableStore,
  revision: number,
): Promise<Result<readonly ObjectChange[], StoreFault>> {
  const rows = await scanAll(table, AUDIT_PREFIX, auditKey(revision));
  return rows.map((found) =>
    found.flatMap((row) => {
      const audit = auditRowSchema.parse(row.value);
      return audit.changes.map(({ id, after }) => ({ id, after, revision: audit.revision }));
    }),
  );
}

/**
 * Reads the whole configuration. Objects can change while they are read, so the head is read first
 * and the changes since then are applied on top; each object keeps its newest revision.
 */
export async function readConfiguration(
  table: TableStore,
): Promise<Result<Configuration, StoreFault>> {
  const head = await readHeadRevision(table);
  if (head.isErr) return Result.err(head.error);
  const rows = await scanAll(table, OBJECT_PREFIX);
  if (rows.isErr) return Result.err(rows.error);
  const changes = await readChangesAfter(table, head.value);
  if (changes.isErr) return Result.err(changes.error);
  const objects = new Map<string, StoredObject>();
  for (const row of rows.value) {
    objects.set(row.key.slice(OBJECT_PREFIX.length), objectRowSchema.parse(row.value));
  }
  return Result.ok(new Configuration(head.value, objects).advance(changes.value));
}
