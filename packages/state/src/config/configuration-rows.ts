import { objectSchema } from '@poppypond/objects';
import { z } from 'zod';

/** Key of the head row, whose version orders all changes of the configuration. */
export const HEAD_KEY = 'config/head';

/** Key prefix of object rows. */
export const OBJECT_PREFIX = 'config/object/';

/** Key prefix of audit rows, one for each accepted change. */
export const AUDIT_PREFIX = 'audit/';

const REVISION_DIGITS = 12;

/** Row key of an object with the id `kind/name`. */
export function objectKey(id: string): string {
  return `${OBJECT_PREFIX}${id}`;
}

/** Key of a revision's audit row; keys sort in the order of revisions. */
export function auditKey(revision: number): string {
  return `${AUDIT_PREFIX}${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** Key of the row that stores a change id, so that a change sent twice is applied once. */
export function changeIdKey(changeId: string): string {
  return `config/change/${changeId}`;
}

/** Schema of the head row. */
export const headSchema = z.object({ revision: z.int().nonnegative() });

/** Schema of an object row. */
export const objectRowSchema = z.object({ revision: z.int().positive(), object: objectSchema });

const changeSchema = z.object({
  id: z.string(),
  before: objectSchema.nullable(),
  after: objectSchema.nullable(),
});

/** Schema of an audit row. */
export const auditRowSchema = z.object({
  revision: z.int().positive(),
  changeId: z.string(),
  operator: z.string(),
  wallMs: z.number(),
  why: z.string(),
  changes: z.array(changeSchema),
});

/** Audit record of an accepted change: who changed what, when and why. */
export type AuditRow = z.infer<typeof auditRowSchema>;
