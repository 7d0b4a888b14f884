import { delay, fault, randomId } from '@poppypond/core';
import type { Clock, Fault, Json } from '@poppypond/core';
import { objectId } from '@poppypond/objects';
import type { ConfigObject } from '@poppypond/objects';
import { Result } from 'true-myth';
import type { StoreFault, TableRow, TableStore } from '../table/table-store.js';
import {
  auditKey,
  auditRowSchema,
  changeIdKey,
  HEAD_KEY,
  headSchema,
  objectKey,
  objectRowSchema,
} from './configuration-rows.js';
import type { AuditRow } from './configuration-rows.js';

/** One object to write or delete. */
export interface ObjectWrite {
  readonly id: string;
  /** Null deletes the object. */
  readonly after: ConfigObject | null;
  /**
   * Revision that the operator saw, 0 if the object must be new; if absent, any revision is
   * accepted.
   */
  readonly expected?: number;
}

/** A configuration change requested by one operator. */
export interface ChangeRequest {
  readonly operator: string;
  readonly why: string;
  /** A change that is sent twice with the same id is applied once. */
  readonly changeId?: string;
  readonly writes: readonly ObjectWrite[];
}

/** An accepted change; `isRepeat` if it was accepted earlier under the same change id. */
export interface AcceptedChange {
  readonly audit: AuditRow;
  readonly isRepeat: boolean;
}

interface PreviousState {
  readonly row: TableRow | undefined;
  readonly revision: number;
  readonly object: ConfigObject | null;
}

const MAX_ATTEMPTS = 12;
const RETRY_BASE_MS = 5;
const REVISION_INCREMENT = 1;

function storeFault(error: StoreFault): Fault {
  const code = error.reason === 'unconfirmed' ? 'store_unconfirmed' : 'store_down';
  return fault(code, error.detail);
}

async function readPreviousState(
  table: TableStore,
  write: ObjectWrite,
): Promise<Result<PreviousState, StoreFault>> {
  const row = await table.get(objectKey(write.id));
  return row.map((found): PreviousState => {
    if (!found) return { row: undefined, revision: 0, object: null };
    return { row: found, ...objectRowSchema.parse(found.value) };
  });
}

/**
 * Applies changes to the configuration: one transaction writes the objects, the audit row and the
 * head row.
 */
export class ConfigurationWriter {
  constructor(
    readonly table: TableStore,
    readonly clock: Clock,
  ) {}

  /**
   * Applies a change completely or not at all. Retries after a race with changes of other objects;
   * returns a `conflict` fault if an object is not at its expected revision.
   */
  async apply(request: ChangeRequest): Promise<Result<AcceptedChange, Fault>> {
    const changeId = request.changeId ?? randomId();
    const previousAudit = await this.#findAcceptedChange(changeId);
    if (previousAudit.isErr) return Result.err(storeFault(previousAudit.error));
    if (previousAudit.value) return Result.ok({ audit: previousAudit.value, isRepeat: true });
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const result = await this.#attemptChange(request, changeId);
      if (result !== 'raced') return result;
      await delay(this.clock, Math.random() * RETRY_BASE_MS * attempt);
    }
    return Result.err(fault('store_down', 'too many concurrent changes; retry'));
  }

  async #findAcceptedChange(changeId: string): Promise<Result<AuditRow | undefined, StoreFault>> {
    const row = await this.table.get(changeIdKey(changeId));
    if (row.isErr) return Result.err(row.error);
    if (!row.value) return Result.ok(undefined);
    const { revision } = headSchema.parse(row.value.value);
    const audit = await this.table.get(auditKey(revision));
    return audit.map((found) => (found ? auditRowSchema.parse(found.value) : undefined));
  }

  async #attemptChange(
    request: ChangeRequest,
    changeId: string,
  ): Promise<Result<AcceptedChange, Fault> | 'raced'> {
    const headRow = await this.table.get(HEAD_KEY);
    if (headRow.isErr) return Result.err(storeFault(headRow.error));
    const previousStates: PreviousState[] = [];
    for (const write of request.writes) {
      const before = await readPreviousState(this.table, write);
      if (before.isErr) return Result.err(storeFault(before.error));
      if (write.expected !== undefined && write.expected !== before.value.revision) {
        return Result.err(await this.#conflictFault(write, before.value));
      }
      previousStates.push(before.value);
    }
    const head = headRow.value ? headSchema.parse(headRow.value.value).revision : 0;
    const audit = this.#auditRow(request, changeId, head + REVISION_INCREMENT, previousStates);
    return this.#commit(headRow.value, audit, request, previousStates);
  }

  #auditRow(
    request: ChangeRequest,
    changeId: string,
    revision: number,
    previousStates: readonly PreviousState[],
  ): AuditRow {
    return {
      revision,
      changeId,
      operator: request.operator,
      wallMs: this.clock.wallMs(),
      why: request.why,
      changes: request.writes.map(({ id, after }, index) => ({
        id,
        before: previousStates[index]?.object ?? null,
        after,
      })),
    };
  }

  async #commit(
    head: TableRow | undefined,
    audit: AuditRow,
    request: ChangeRequest,
    previousStates: readonly PreviousState[],
  ): Promise<Result<AcceptedChange, Fault> | 'raced'> {
    const { revision, changeId } = audit;
    const objects = request.writes.flatMap(({ id, after }) =>
      after ? [{ key: objectKey(id), value: toJson({ revision, object: after }) }] : [],
    );
    const sent = await this.table.transact({
      checks: [
        { key: HEAD_KEY, version: head?.version ?? 0 },
        { key: changeIdKey(changeId), version: 0 },
        ...request.writes.map(({ id }, index) => ({
          key: objectKey(id),
          version: previousStates[index]?.row?.version ?? 0,
        })),
      ],
      puts: [
        ...objects,
        { key: HEAD_KEY, value: { revision } },
        { key: changeIdKey(changeId), value: { revision } },
        { key: auditKey(revision), value: toJson(audit) },
      ],
      deletes: request.writes.filter(({ after }) => !after).map(({ id }) => objectKey(id)),
    });
    if (sent.isOk) {
      return sent.value.kind === 'applied' ? Result.ok({ audit, isRepeat: false }) : 'raced';
    }
    return this.#readBackOutcome(changeId, sent.error);
  }

  /** Reads from the table whether a write took effect whose response was lost. */
  async #readBackOutcome(
    changeId: string,
    error: StoreFault,
  ): Promise<Result<AcceptedChange, Fault> | 'raced'> {
    if (error.reason === 'unavailable') return Result.err(storeFault(error));
    const accepted = await this.#findAcceptedChange(changeId);
    if (accepted.isErr) return Result.err(storeFault(error));
    if (accepted.value) return Result.ok({ audit: accepted.value, isRepeat: false });
    return 'raced';
  }

  async #conflictFault(write: ObjectWrite, before: PreviousState): Promise<Fault> {
    const row = await this.table.get(auditKey(before.revision));
    const conflictingChange =
      row.isOk && row.value ? auditRowSchema.parse(row.value.value) : undefined;
    const cause = conflictingChange
      ? `change ${conflictingChange.changeId} by ${conflictingChange.operator} ("${conflictingChange.why}")`
      : 'the object does not exist';
    const detail =
      `${write.id}: you changed revision ${String(write.expected)}, ` +
      `it is now at ${String(before.revision)}: ${cause}`;
    return fault('conflict', detail, { path: write.id });
  }
}

function toJson(value: unknown): Json {
  const copy: Json = JSON.parse(JSON.stringify(value));
  return copy;
}

/**
 * Creates a write of an object under its `kind/name`; without `expected` it replaces any revision.
 */
export function toObjectWrite(object: ConfigObject, expected?: number): ObjectWrite {
  const id = objectId(object);
  return expected === undefined ? { id, after: object } : { id, after: object, expected };
}
