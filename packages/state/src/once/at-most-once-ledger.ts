import { delay, fault, formatOwner, randomId } from '@poppypond/core';
import type { Clock, Fault, Json, Milliseconds, Owner } from '@poppypond/core';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { StoreFault, TableRow, TableStore } from '../table/table-store.js';

/** Key prefix of the ledger's rows. */
export const LEDGER_PREFIX = 'once/';

const responseSchema = z.object({
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
});

const ledgerEntrySchema = z.discriminatedUnion('state', [
  z.object({
    state: z.literal('claimed'),
    claimId: z.string(),
    owner: z.string(),
    requestHash: z.string(),
    wallMs: z.number(),
  }),
  z.object({
    state: z.literal('ran'),
    claimId: z.string(),
    requestHash: z.string(),
    wallMs: z.number(),
    answer: responseSchema,
  }),
  z.object({ state: z.literal('not_run'), claimId: z.string(), wallMs: z.number() }),
]);

/** The ledger's entry for one call. */
export type LedgerEntry = z.infer<typeof ledgerEntrySchema>;

/** The recorded response to a call. */
export type RecordedResponse = z.infer<typeof responseSchema>;

/** The exclusive right to run one call; only the holder of the claim dispatches the call. */
export interface Claim {
  readonly key: string;
  readonly claimId: string;
  readonly requestHash: string;
}

/** Either the call may run now, or it ran before with this response. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'ran_before'; readonly answer: RecordedResponse };

const READ_BACK_ATTEMPTS = 3;
const READ_BACK_DELAY_MS = 50;
const MAX_OUTCOME_POLLS = 3;
const OUTCOME_POLL_MS = 60;
const FLUSH_DELAY_MS = 25;
const FLUSH_RETRY_MS = 500;
const IN_PROGRESS_RETRY_AFTER_MS = 1000;
const STORE_RETRY_AFTER_MS = 2000;

/**
 * Row key of a call. The idempotency key is URL-encoded, so that no workspace can address another's
 * rows.
 */
export function ledgerKey(workspace: string, idempotencyKey: string): string {
  return `${LEDGER_PREFIX}${workspace}/${encodeURIComponent(idempotencyKey)}`;
}

/**
 * Ledger of calls that run at most once for each idempotency key. A claim is one conditional write
 * before dispatch. Outcomes are written in batches after the caller has its response, and retried
 * until they are stored.
 */
export class AtMostOnceLedger {
  readonly #outcomes = new Map<string, LedgerEntry>();
  #isFlushing = false;

  constructor(
    readonly table: TableStore,
    readonly clock: Clock,
    readonly owner: Owner,
  ) {}

  /** Number of outcomes that are not stored yet. */
  get pendingOutcomes(): number {
    return this.#outcomes.size;
  }

  /**
   * Claims a call before it is dispatched. Every fault except `key_in_progress` means that the call
   * was not run.
   */
  async claim(
    workspace: string,
    idempotencyKey: string,
    requestHash: string,
  ): Promise<Result<ClaimResult, Fault>> {
    const key = ledgerKey(workspace, idempotencyKey);
    const local = this.#outcomes.get(key);
    if (local) return this.#resolveEntry(key, requestHash, local, undefined);
    return this.#writeClaim(key, requestHash, 0);
  }

  async #writeClaim(
    key: string,
    requestHash: string,
    version: number,
  ): Promise<Result<ClaimResult, Fault>> {
    const claim = { key, claimId: randomId(), requestHash };
    const value = {
      state: 'claimed',
      claimId: claim.claimId,
      owner: formatOwner(this.owner),
      requestHash,
      wallMs: this.clock.wallMs(),
    };
    const sent = await this.table.transact({ checks: [{ key, version }], puts: [{ key, value }] });
    if (sent.isOk && sent.value.kind === 'applied') return Result.ok({ kind: 'claimed', claim });
    if (sent.isErr && sent.error.reason === 'unavailable')
      return Result.err(storeUnavailableFault(sent.error));
    const row = await this.#readBack(key);
    if (row.isErr) {
      this.#abandonClaim(claim);
      return Result.err(storeUnavailableFault(row.error));
    }
    const entry = row.value ? ledgerEntrySchema.parse(row.value.value) : undefined;
    if (entry?.claimId === claim.claimId) return Result.ok({ kind: 'claimed', claim });
    if (!entry) {
      this.#abandonClaim(claim);
      return Result.err(
        storeUnavailableFault({ reason: 'unconfirmed', detail: 'the claim is not in the table' }),
      );
    }
    if (sent.isErr) this.#abandonClaim(claim);
    return this.#resolveEntry(key, requestHash, entry, row.value);
  }

  async #readBack(key: string): Promise<Result<TableRow | undefined, StoreFault>> {
    let row = await this.table.get(key);
    for (let tries = 1; row.isErr && tries < READ_BACK_ATTEMPTS; tries += 1) {
      await delay(this.clock, READ_BACK_DELAY_MS);
      row = await this.table.get(key);
    }
    return row;
  }

  #resolveEntry(
    key: string,
    requestHash: string,
    entry: LedgerEntry,
    row: TableRow | undefined,
    pollsLeft = MAX_OUTCOME_POLLS,
  ): Result<ClaimResult, Fault> | Promise<Result<ClaimResult, Fault>> {
    if (entry.state === 'not_run') {
      if (row) return this.#writeClaim(key, requestHash, row.version);
      return Result.err(inProgress());
    }
    if (entry.requestHash !== requestHash) {
      return Result.err(
        fault('key_reused', 'the first request with this key was different', {
          path: 'idempotency-key',
        }),
      );
    }
    if (entry.state === 'ran') return Result.ok({ kind: 'ran_before', answer: entry.answer });
    return row && pollsLeft > 0
      ? this.#waitForOutcome(key, requestHash, pollsLeft)
      : Result.err(inProgress());
  }

  /**
   * Waits for the outcome of another request that holds the claim, which is usually stored shortly
   * after.
   */
  async #waitForOutcome(
    key: string,
    requestHash: string,
    pollsLeft: number,
  ): Promise<Result<ClaimResult, Fault>> {
    await delay(this.clock, OUTCOME_POLL_MS);
    const row = await this.table.get(key);
    if (row.isErr || !row.value) return Result.err(inProgress());
    const entry = ledgerEntrySchema.parse(row.value.value);
    return this.#resolveEntry(key, requestHash, entry, row.value, pollsLeft - 1);
  }

  /**
   * Records that the call ran with this response. The record is stored shortly after, with retries
   * until it is.
   */
  recordRan(claim: Claim, answer: RecordedResponse): void {
    const { claimId, requestHash } = claim;
    const wallMs = this.clock.wallMs();
    this.#enqueue(claim.key, { state: 'ran', claimId, requestHash, wallMs, answer });
  }

  /** Records that the call was not run, so that its key can be used again. */
  recordNotRun(claim: Claim): void {
    this.#abandonClaim(claim);
  }

  #abandonClaim(claim: Claim): void {
    const wallMs = this.clock.wallMs();
    this.#enqueue(claim.key, { state: 'not_run', claimId: claim.claimId, wallMs });
  }

  #enqueue(key: string, entry: LedgerEntry): void {
    this.#outcomes.set(key, entry);
    this.#scheduleFlush(FLUSH_DELAY_MS);
  }

  #scheduleFlush(delayMs: Milliseconds): void {
    if (this.#isFlushing) return;
    this.#isFlushing = true;
    this.clock.after(delayMs, () => {
      void this.#flush();
    });
  }

  async #flush(): Promise<void> {
    const outcomes = [...this.#outcomes];
    const stored = await this.#storeOutcomes(outcomes);
    for (const [key, entry] of stored) {
      if (this.#outcomes.get(key) === entry) this.#outcomes.delete(key);
    }
    this.#isFlushing = false;
    if (this.#outcomes.size === 0) return;
    this.#scheduleFlush(stored.length === outcomes.length ? FLUSH_DELAY_MS : FLUSH_RETRY_MS);
  }

  /**
   * Writes all `ran` outcomes in one transaction without checks, because only the holder of a claim
   * writes its row. Each `not_run` tombstone is written with a version check, because it must not
   * overwrite another host's claim. Returns the outcomes that are stored.
   */
  async #storeOutcomes(
    outcomes: readonly (readonly [string, LedgerEntry])[],
  ): Promise<readonly (readonly [string, LedgerEntry])[]> {
    const ran = outcomes.filter(([, entry]) => entry.state === 'ran');
    const stored: (readonly [string, LedgerEntry])[] = [];
    if (ran.length > 0) {
      const puts = ran.map(([key, entry]) => ({ key, value: toJson(entry) }));
      const sent = await this.table.transact({ puts });
      if (sent.isOk) stored.push(...ran);
    }
    for (const [key, entry] of outcomes) {
      if (entry.state === 'not_run' && (await this.#storeTombstone(key, entry))) {
        stored.push([key, entry]);
      }
    }
    return stored;
  }

  async #storeTombstone(key: string, entry: LedgerEntry): Promise<boolean> {
    const row = await this.table.get(key);
    if (row.isErr) return false;
    const current = row.value ? ledgerEntrySchema.parse(row.value.value) : undefined;
    if (current && current.claimId !== entry.claimId) return true;
    if (current?.state === 'not_run') return true;
    const version = row.value?.version ?? 0;
    const sent = await this.table.transact({
      checks: [{ key, version }],
      puts: [{ key, value: toJson(entry) }],
    });
    return sent.isOk && sent.value.kind === 'applied';
  }
}

function inProgress(): Fault {
  return fault('key_in_progress', 'retry with the same key', {
    retryAfterMs: IN_PROGRESS_RETRY_AFTER_MS,
  });
}

function storeUnavailableFault(error: StoreFault): Fault {
  return fault('store_unavailable', error.detail, { retryAfterMs: STORE_RETRY_AFTER_MS });
}

function toJson(entry: LedgerEntry): Json {
  return entry;
}

/** Whether the value of a row is a ledger entry older than `retentionMs`, which can be deleted. */
export function isExpiredEntry(
  value: unknown,
  nowWallMs: Milliseconds,
  retentionMs: Milliseconds,
): boolean {
  const entry = ledgerEntrySchema.safeParse(value);
  return entry.success && nowWallMs - entry.data.wallMs > retentionMs;
}
