import { objectSchema } from '@poppypond/objects';
import { z } from 'zod';

/** The row whose version orders all changes of the configuration. */
export const HEAD_KEY = 'config/head';

/** The prefix of object rows. */
export const OBJECT_PREFIX = 'config/object/';

/** The prefix of audit rows, one for each accepted change. */
export const AUDIT_PREFIX = 'audit/';

const REVISION_DIGITS = 12;

/** The row of an object, from its `kind/name`. */
export function objectKey(id: string): string {
  return `${OBJECT_PREFIX}${id}`;
}

/** The audit row of a revision; keys sort as revisions do. */
export function auditKey(revision: number): string {
  return `${AUDIT_PREFIX}${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/** The row that remembers a change id, so that a change sent twice has one effect. */
export function changeIdKey(changeId: string): string {
  return `config/change/${changeId}`;
}

/** The head row. */
export const headSchema = z.object({ revision: z.int().nonnegative() });

/** An object row. */
export const objectRowSchema = z.object({ revision: z.int().positive(), object: objectSchema });

const changeSchema = z.object({
  id: z.string(),
  before: objectSchema.nullable(),
  after: objectSchema.nullable(),
});

/** An audit row. */
export const auditRowSchema = z.object({
  revision: z.int().positive(),
  changeId: z.string(),
  operator: z.string(),
  wallMs: z.number(),
  why: z.string(),
  changes: z.array(changeSchema),
});

/** Who changed what, when and why. */
export type AuditRow = z.infer<typeof auditRowSchema>;
