import { delay, ownerText } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';
import type { TableStore } from '@poppypond/state';
import { z } from 'zod';

const rowSchema = z.object({
  /** Owner to its part of the limit; the parts never sum to more than 1. */
  holders: z.record(z.string(), z.number()),
  /** Units that were given back with parts that nobody holds. */
  freeUnits: z.number(),
});

/** A budget's row. */
export type ShareRow = z.infer<typeof rowSchema>;

/** What was taken from the table. */
export interface TakenShare {
  readonly share: number;
  readonly units: number;
}

const MAX_TRIES = 6;
const RETRY_MS = 20;
const LEAST_FREE = 0.001;

function freeOf(row: ShareRow): number {
  return 1 - Object.values(row.holders).reduce((sum, share) => sum + share, 0);
}

/** The record of who holds which part of a budget, in the platform's table. */
export class ShareTable {
  readonly #self: string;

  constructor(
    readonly table: TableStore,
    readonly clock: Clock,
    owner: Owner,
  ) {
    this.#self = ownerText(owner);
  }

  /** Changes a row until no other host has changed it in between; undefined if it can't be. */
  async #change(
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
      const sent = await this.table.transact({ checks, puts: [{ key, value: next }] });
      if (sent.isOk && sent.value.kind === 'applied') return next;
      if (sent.isErr && sent.error.reason === 'unavailable') return undefined;
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
  async takeFree(budgetId: string, burstUnits: number): Promise<TakenShare | undefined> {
    let taken: TakenShare | undefined;
    const written = await this.#change(budgetId, (row) => {
      const current = row ?? { holders: {}, freeUnits: burstUnits };
      const free = freeOf(current);
      if (free < LEAST_FREE) return undefined;
      taken = { share: free, units: Math.max(0, current.freeUnits) };
      const own = (current.holders[this.#self] ?? 0) + free;
      return { holders: { ...current.holders, [this.#self]: own }, freeUnits: 0 };
    });
    return written ? taken : undefined;
  }

  /** Records a transfer from `giver` to this host; false while the table doesn't answer. */
  async recordTransfer(budgetId: string, giver: string, share: number): Promise<boolean> {
    const written = await this.#change(budgetId, (row) => {
      const holders = { ...row?.holders };
      holders[giver] = Math.max(0, (holders[giver] ?? 0) - share);
      holders[this.#self] = (holders[this.#self] ?? 0) + share;
      return { holders, freeUnits: row?.freeUnits ?? 0 };
    });
    return written !== undefined;
  }

  /** Makes the part of a holder free; units are what it gives back. */
  async free(budgetId: string, holder: string, units: number): Promise<boolean> {
    const written = await this.#change(budgetId, (row) => {
      if (!row || !(holder in row.holders)) return undefined;
      const holders = Object.fromEntries(
        Object.entries(row.holders).filter(([name]) => name !== holder),
      );
      return { holders, freeUnits: row.freeUnits + units };
    });
    return written !== undefined;
  }

  /** Makes this host's own part free. */
  freeOwn(budgetId: string, units: number): Promise<boolean> {
    return this.free(budgetId, this.#self, units);
  }
}
