import { delay, formatOwner } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';
import type { TableStore } from '@poppypond/state';
import { z } from 'zod';

const rowSchema = z.object({
  /**
   * Share of the limit by owner. Below zero if a host has transferred a share that it received by
   * a transfer that is not recorded yet.
   */
  holders: z.record(z.string(), z.number()),
  /** Owners whose share was reclaimed, newest last; their unrecorded transfers are void. */
  reclaimed: z.array(z.string()),
  /** Units that were returned together with shares that no host holds. */
  freeUnits: z.number(),
});

/** Row of a budget in the table. */
export type ShareRow = z.infer<typeof rowSchema>;

/** A share acquired from the table, with its unspent units. */
export interface AcquiredShare {
  readonly share: number;
  readonly units: number;
}

const MAX_TRIES = 6;
const RETRY_MS = 20;
const MIN_FREE_SHARE = 0.001;
const MAX_RECLAIMED = 100;

const EMPTY_ROW: ShareRow = { holders: {}, reclaimed: [], freeUnits: 0 };

/** Share that no host holds. Shares below zero count as zero, so that it is never too large. */
function freeShare(row: ShareRow): number {
  return 1 - Object.values(row.holders).reduce((sum, share) => sum + Math.max(0, share), 0);
}

/** Records in the platform's table which host holds which share of a budget. */
export class ShareTable {
  readonly #self: string;

  constructor(
    readonly table: TableStore,
    readonly clock: Clock,
    owner: Owner,
  ) {
    this.#self = formatOwner(owner);
  }

  /**
   * Updates a row by compare-and-set, and tries again after a conflict. Returns undefined if
   * `change` returns no row, or if it is not confirmed that the row was written. `unconfirmed` is
   * the last row of an earlier try whose write may have taken effect.
   */
  async #update(
    budgetId: string,
    change: (row: ShareRow | undefined, unconfirmed: ShareRow | undefined) => ShareRow | undefined,
  ): Promise<ShareRow | undefined> {
    const key = `share/${budgetId}`;
    let unconfirmed: ShareRow | undefined;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const read = await this.table.get(key);
      if (read.isErr) return undefined;
      const current = read.value ? rowSchema.parse(read.value.value) : undefined;
      const next = change(current, unconfirmed);
      if (!next) return undefined;
      const version = read.value?.version ?? 0;
      const checks = [{ key, version }];
      const result = await this.table.transact({ checks, puts: [{ key, value: next }] });
      if (result.isOk && result.value.kind === 'applied') return next;
      if (result.isErr && result.error.reason === 'unavailable') return undefined;
      if (result.isErr) unconfirmed = next;
      await delay(this.clock, RETRY_MS * Math.random());
    }
    return undefined;
  }

  /** Reads a budget's row. Returns undefined if there is none or the table does not respond. */
  async read(budgetId: string): Promise<ShareRow | undefined> {
    const read = await this.table.get(`share/${budgetId}`);
    if (read.isErr || !read.value) return undefined;
    return rowSchema.parse(read.value.value);
  }

  /**
   * Acquires the whole share that no host holds. If the response to the write is lost, the retry
   * finds this host among the holders and nothing free, so that nothing is counted twice.
   */
  async acquireFree(budgetId: string, burstUnits: number): Promise<AcquiredShare | undefined> {
    let acquired: AcquiredShare | undefined;
    const written = await this.#update(budgetId, (row) => {
      const current = row ?? { ...EMPTY_ROW, freeUnits: burstUnits };
      const free = freeShare(current);
      if (free < MIN_FREE_SHARE) return undefined;
      acquired = { share: free, units: Math.max(0, current.freeUnits) };
      const ownShare = (current.holders[this.#self] ?? 0) + free;
      return { ...current, holders: { ...current.holders, [this.#self]: ownShare }, freeUnits: 0 };
    });
    return written ? acquired : undefined;
  }

  /**
   * Records transfers to this host. Returns the share that this host must give up, as the share of
   * its giver was reclaimed before the transfer was recorded. Returns undefined if the table does
   * not respond.
   */
  async recordTransfers(
    budgetId: string,
    transfers: ReadonlyMap<string, number>,
  ): Promise<number | undefined> {
    let voidShare = 0;
    const written = await this.#update(budgetId, (row) => {
      const current = row ?? EMPTY_ROW;
      const holders = { ...current.holders };
      voidShare = 0;
      for (const [giver, share] of transfers) {
        if (current.reclaimed.includes(giver)) {
          voidShare += share;
          continue;
        }
        holders[giver] = (holders[giver] ?? 0) - share;
        holders[this.#self] = (holders[this.#self] ?? 0) + share;
      }
      return { ...current, holders };
    });
    return written ? voidShare : undefined;
  }

  /** Frees the share of a holder that is certainly gone. */
  async reclaim(budgetId: string, holder: string): Promise<boolean> {
    const written = await this.#update(budgetId, (row) => {
      if (!row || !(holder in row.holders)) return undefined;
      const others = Object.entries(row.holders).filter(([name]) => name !== holder);
      const reclaimed = [...row.reclaimed, holder].slice(-MAX_RECLAIMED);
      return { ...row, holders: Object.fromEntries(others), reclaimed };
    });
    return written !== undefined;
  }

  /**
   * Returns this host's share. A share that this host has transferred stays recorded under its name
   * until the receiver records the transfer.
   */
  async returnShare(budgetId: string, share: number, units: number): Promise<boolean> {
    const written = await this.#update(budgetId, (row, unconfirmed) => {
      if (!row) return undefined;
      // An unconfirmed write that has taken effect must not free the share a second time.
      const isReturned =
        unconfirmed !== undefined && row.holders[this.#self] === unconfirmed.holders[this.#self];
      if (isReturned) return row;
      const ownShare = (row.holders[this.#self] ?? 0) - share;
      const holders = { ...row.holders, [this.#self]: ownShare };
      return { ...row, holders, freeUnits: row.freeUnits + units };
    });
    return written !== undefined;
  }
}
