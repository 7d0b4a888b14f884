import { formatOwner } from '@poppypond/core';
import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import { z } from 'zod';
import type { TableStore } from '../table/table-store.js';

const leaseRowSchema = z.object({
  holder: z.string(),
  fence: z.int().nonnegative(),
  durationMs: z.number(),
});

type LeaseRow = z.infer<typeof leaseRowSchema>;

/** Fraction of the lease duration after which the holder renews. */
const RENEW_FRACTION = 1 / 3;
/**
 * Fraction of the lease duration by which the holder stops early, as the hosts' clocks run at
 * different rates.
 */
const SAFETY_FRACTION = 0.15;

/** A lease that this host holds. */
export interface HeldLease {
  /** Fencing token, which increases with each holder; sent with each command. */
  readonly fence: number;
  /** Monotonic time until which commands may be sent. */
  readonly validUntilMs: Milliseconds;
}

interface ObservedVersion {
  readonly version: number;
  readonly sinceMs: Milliseconds;
}

/**
 * A lease in the platform's table. Wall clocks of hosts are never compared: a candidate takes the
 * lease only after it has seen the same row version for the duration given in the row, by its own
 * monotonic clock. The holder's validity starts before it sends the write that succeeds.
 */
export class Lease {
  #held: (HeldLease & { readonly version: number }) | undefined;
  #observed: ObservedVersion | undefined;
  readonly #key: string;

  constructor(
    readonly name: string,
    readonly owner: Owner,
    readonly table: TableStore,
    readonly clock: Clock,
    readonly durationMs: Milliseconds,
  ) {
    this.#key = `lease/${name}`;
  }

  /** Period at which `tick` must be called. */
  get tickPeriodMs(): Milliseconds {
    return this.durationMs * RENEW_FRACTION;
  }

  /**
   * The lease, if this host holds it and a command sent now would still be in time; otherwise
   * undefined.
   */
  held(): HeldLease | undefined {
    if (!this.#held || this.clock.monotonicMs() >= this.#held.validUntilMs) return undefined;
    return this.#held;
  }

  /**
   * Renews the lease if this host holds it, takes it if it is free or expired, or else keeps
   * observing it.
   */
  async tick(): Promise<void> {
    const row = await this.table.get(this.#key);
    if (row.isErr) return;
    const version = row.value?.version ?? 0;
    const current = row.value ? leaseRowSchema.parse(row.value.value) : undefined;
    if (current?.holder === formatOwner(this.owner)) return this.#write(version, current);
    this.#held = undefined;
    if (this.#isAvailable(version, current)) return this.#write(version, current);
  }

  /** Releases the lease, so that another host need not wait for it to expire. */
  async release(): Promise<void> {
    const held = this.#held;
    this.#held = undefined;
    if (!held) return;
    const value = { holder: '', fence: held.fence, durationMs: this.durationMs };
    await this.table.transact({
      checks: [{ key: this.#key, version: held.version }],
      puts: [{ key: this.#key, value }],
    });
  }

  #isAvailable(version: number, row: LeaseRow | undefined): boolean {
    if (!row || row.holder === '') return true;
    const nowMs = this.clock.monotonicMs();
    if (this.#observed?.version !== version) this.#observed = { version, sinceMs: nowMs };
    return nowMs - this.#observed.sinceMs >= row.durationMs;
  }

  async #write(version: number, row: LeaseRow | undefined): Promise<void> {
    const isRenewal = row?.holder === formatOwner(this.owner) && this.#held !== undefined;
    const fence = isRenewal ? row.fence : (row?.fence ?? 0) + 1;
    const sentAtMs = this.clock.monotonicMs();
    const written = await this.table.transact({
      checks: [{ key: this.#key, version }],
      puts: [
        {
          key: this.#key,
          value: { holder: formatOwner(this.owner), fence, durationMs: this.durationMs },
        },
      ],
    });
    if (written.isErr) return;
    if (written.value.kind === 'conflict') {
      this.#held = undefined;
      return;
    }
    const validUntilMs = sentAtMs + this.durationMs * (1 - SAFETY_FRACTION);
    this.#held = { fence, validUntilMs, version: written.value.version };
  }
}
