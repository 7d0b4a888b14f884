import { releaseReservations, renewReservations } from '@poppypond/backend';
import { formatOwner } from '@poppypond/core';
import type { Clock, Owner } from '@poppypond/core';

/** Time after which a reservation expires if it is not renewed. */
export const RESERVATION_TTL_MS = 10_000;

const RENEW_PERIOD_MS = RESERVATION_TTL_MS / 4;
const RELEASE_TRIES = 5;
const RELEASE_RETRY_MS = 1000;

/** A reservation of memory on an engine. */
export interface EngineReservation {
  readonly engineUrl: string;
  readonly id: string;
}

function keyOf({ engineUrl, id }: EngineReservation): string {
  return `${engineUrl}#${id}`;
}

/** Renews this host's reservations, with one call to each engine, and releases them. */
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

  /** Whether this host still uses a reservation; queried by the controller's memory sweep. */
  isClaimed(reservation: EngineReservation): boolean {
    return this.#reservations.has(keyOf(reservation));
  }

  track(reservation: EngineReservation): void {
    this.#reservations.set(keyOf(reservation), reservation);
  }

  /**
   * Releases reservations. If an engine does not respond, the release is retried a few times and
   * then left to the controller's memory sweep.
   */
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
