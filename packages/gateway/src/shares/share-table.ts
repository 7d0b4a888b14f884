import { delay, formatOwner } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';
import type { TableStore } from '@poppypond/state';
import { z } from 'zod';

const rowSchema = z.object({
  /**
   * Owner to its part of the limit. Below zero where a host has given on what it was given
   * and the first transfer isn't recorded yet.
   */
  holders: z.record(z.string(), z.number()),
  /** Owners whose part was reclaimed, newest last; what they gave away before is void. */
  reclaimed: z.array(z.string()),
  /** Units that were given back with parts that nobody holds. */
  freeUnits: z.number(),
});

/** A budget's row. */
export type ShareRow = z.infer<typeof rowSchema>;

/** What was taken from the table. */
export interface AcquiredShare {
  readonly share: number;
  readonly units: number;
}

const MAX_TRIES = 6;
const RETRY_MS = 20;
const MIN_FREE_SHARE = 0.001;
const MAX_RECLAIMED = 100;

const EMPTY_ROW: ShareRow = { holders: {}, reclaimed: [], freeUnits: 0 };

/** What nobody holds. Parts below zero count as none, so that it is never too much. */
function freeShare(row: ShareRow): number {
  return 1 - Object.values(row.holders).reduce((sum, share) => sum + Math.max(0, share), 0);
}

/** The record of who holds which part of a budget, in the platform's table. */
export class ShareTable {
  readonly #self: string;

  constructor(
    readonly table: TableStore,
    readonly clock: Clock,
    owner: Owner,
  ) {
    this.#self = formatOwner(owner);
  }

  /** Changes a row until no other host has changed it in between; undefined if it can't be. */
  async #update(
    budgetId: string,
    change: (row: ShareRow | undefined) => ShareRow | undefined,
  ): Promise<ShareRow | undefined> {
    const key = `share/${budgetId}`;
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const read = await this.table.get(key);
      if (read.isErr) return undefined;
      const next = change(read.value ? rowSchema.parse(read.value.value) : undefined);
      if (!next) return undefined;
      const version = read.value?.version ?? 0;
      const checks = [{ key, version }];
      const result = await this.table.transact({ checks, puts: [{ key, value: next }] });
      if (result.isOk && result.value.kind === 'applied') return next;
      if (result.isErr && result.error.reason === 'unavailable') return undefined;
      await delay(this.clock, RETRY_MS * Math.random());
    }
    return undefined;
  }

  /** Who holds the budget; undefined where the table does not answer. */
  async read(budgetId: string): Promise<ShareRow | undefined> {
    const read = await this.table.get(`share/${budgetId}`);
    if (read.isErr || !read.value) return undefined;
    return rowSchema.parse(read.value.value);
  }

  /**
   * Takes all that nobody holds. Where the answer to the write was lost, the next try sees this
   * host among the holders and nothing free, so that nothing is counted twice.
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
   * Records transfers to this host. What a giver no longer holds, because its part was reclaimed
   * before this was recorded, is returned: this host must give it up. Undefined while the table
   * doesn't answer.
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

  /** Makes the part of a holder that is surely gone free. */
  async reclaim(budgetId: string, holder: string): Promise<boolean> {
    const written = await this.#update(budgetId, (row) => {
      if (!row || !(holder in row.holders)) return undefined;
      const others = Object.entries(row.holders).filter(([name]) => name !== holder);
      const reclaimed = [...row.reclaimed, holder].slice(-MAX_RECLAIMED);
      return { ...row, holders: Object.fromEntries(others), reclaimed };
    });
    return written !== undefined;
  }

  /** Gives back what this host holds; what it gave away before stays recorded until it is taken. */
  async returnShare(budgetId: string, share: number, units: number): Promise<boolean> {
    const written = await this.#update(budgetId, (row) => {
      if (!row) return undefined;
      const ownShare = (row.holders[this.#self] ?? 0) - share;
      const holders = { ...row.holders, [this.#self]: ownShare };
      return { ...row, holders, freeUnits: row.freeUnits + units };
    });
    return written !== undefined;
  }
}
