import { releaseReservations, renewReservations } from '@poppypond/backend';
import { formatOwner } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';

/** Time that a reservation lives without renewal. */
export const RESERVATION_TTL_MS = 10_000;

const RENEW_PERIOD_MS = RESERVATION_TTL_MS / 4;
const RELEASE_TRIES = 5;
const RELEASE_RETRY_MS = 1000;

/** A reservation on an engine. */
export interface KeptReservation {
  readonly engineUrl: string;
  readonly id: string;
}

function keyOf({ engineUrl, id }: KeptReservation): string {
  return `${engineUrl}#${id}`;
}

/** Renews the reservations of this host, one call for each engine, and releases them. */
export class ReservationKeeper {
  readonly #kept = new Map<string, KeptReservation>();

  constructor(
    readonly owner: Owner,
    readonly clock: Clock,
  ) {
    clock.every(RENEW_PERIOD_MS, () => {
      void this.#renewAll();
    });
  }

  /** Whether this host still uses a reservation; the sweep asks. */
  isClaimed(reservation: KeptReservation): boolean {
    return this.#kept.has(keyOf(reservation));
  }

  keep(reservation: KeptReservation): void {
    this.#kept.set(keyOf(reservation), reservation);
  }

  /** Gives reservations back. What can't be reached is tried again, then left to the sweep. */
  async release(reservations: readonly KeptReservation[]): Promise<void> {
    for (const reservation of reservations) this.#kept.delete(keyOf(reservation));
    await Promise.all(
      this.#byEngine(reservations).map(([url, ids]) => this.#releaseOn(url, ids, RELEASE_TRIES)),
    );
  }

  async #releaseOn(url: string, ids: readonly string[], tries: number): Promise<void> {
    const released = await releaseReservations(url, ids);
    if (released.isOk || tries <= 1) return;
    this.clock.after(RELEASE_RETRY_MS, () => {
      void this.#releaseOn(url, ids, tries - 1);
    });
  }

  async #renewAll(): Promise<void> {
    await Promise.all(
      this.#byEngine([...this.#kept.values()]).map(([url, ids]) =>
        renewReservations(url, formatOwner(this.owner), ids, RESERVATION_TTL_MS),
      ),
    );
  }

  #byEngine(
    reservations: readonly KeptReservation[],
  ): readonly (readonly [string, readonly string[]])[] {
    const byEngine = new Map<string, string[]>();
    for (const { engineUrl, id } of reservations) {
      const ids = byEngine.get(engineUrl) ?? [];
      ids.push(id);
      byEngine.set(engineUrl, ids);
    }
    return [...byEngine];
  }
}
