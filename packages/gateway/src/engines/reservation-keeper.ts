import { releaseReservations, renewReservations } from '@poppypond/backend';
import { formatOwner } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';

/** Time that a reservation lives without renewal. */
export const RESERVATION_TTL_MS = 10_000;

const RENEW_PERIOD_MS = RESERVATION_TTL_MS / 4;
const RELEASE_TRIES = 5;
const RELEASE_RETRY_MS = 1000;

/** A reservation on an engine. */
export interface EngineReservation {
  readonly engineUrl: string;
  readonly id: string;
}

function keyOf({ engineUrl, id }: EngineReservation): string {
  return `${engineUrl}#${id}`;
}

/** Renews the reservations of this host, one call for each engine, and releases them. */
export class ReservationManager {
  readonly #reservations = new Map<string, EngineReservation>();

  constructor(
    readonly owner: Owner,
    readonly clock: Clock,
  ) {
    clock.every(RENEW_PERIOD_MS, () => {
      void this.#renewAll();
    });
  }

  /** Whether this host still uses a reservation; the sweep asks. */
  isClaimed(reservation: EngineReservation): boolean {
    return this.#reservations.has(keyOf(reservation));
  }

  track(reservation: EngineReservation): void {
    this.#reservations.set(keyOf(reservation), reservation);
  }

  /** Gives reservations back. What can't be reached is tried again, then left to the sweep. */
  async release(reservations: readonly EngineReservation[]): Promise<void> {
    for (const reservation of reservations) this.#reservations.delete(keyOf(reservation));
    await Promise.all(
      this.#byEngine(reservations).map(([url, ids]) =>
        this.#releaseOnEngine(url, ids, RELEASE_TRIES),
      ),
    );
  }

  async #releaseOnEngine(url: string, ids: readonly string[], tries: number): Promise<void> {
    const released = await releaseReservations(url, ids);
    if (released.isOk || tries <= 1) return;
    this.clock.after(RELEASE_RETRY_MS, () => {
      void this.#releaseOnEngine(url, ids, tries - 1);
    });
  }

  async #renewAll(): Promise<void> {
    await Promise.all(
      this.#byEngine([...this.#reservations.values()]).map(([url, ids]) =>
        renewReservations(url, formatOwner(this.owner), ids, RESERVATION_TTL_MS),
      ),
    );
  }

  #byEngine(
    reservations: readonly EngineReservation[],
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
