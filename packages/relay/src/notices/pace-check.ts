import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { MIN_SLOWDOWN } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { EngineStatus } from '../ports.js';
import type { SpeedNotices } from './speed-notices.js';

/** Dependencies of `PaceCheck`. */
export interface PaceCheckParts {
  readonly clock: Clock;
  readonly speedNotices: SpeedNotices;
  readonly readStatus: (server: BackendServer) => Promise<EngineStatus | undefined>;
}

/** Further queries that confirm a slow pace: a single observation says nothing about a server. */
const CONFIRMING_QUERIES = 3;
/** Queries that are closer to each other count as one observation. */
const QUERY_PERIOD_MS: Milliseconds = 150;
/** Engines that are queried at the same time; each query takes a connection of its own. */
const MAX_CHECKED = 8;

/**
 * Records the pace that engines state in their status. Hosts query the status of engines that
 * prefill parts of a long prompt, whose speed nothing else shows, but too rarely for several
 * observations within a second; a slow pace is therefore queried again.
 */
export class PaceCheck {
  readonly #checked = new Set<string>();

  constructor(readonly parts: PaceCheckParts) {}

  /** Records the pace in a status of an engine. */
  onPace(server: BackendServer, pace: number): void {
    const { clock, speedNotices } = this.parts;
    if (!speedNotices.isEnabled) return;
    speedNotices.record(server, pace, 'pace');
    const { speeds } = speedNotices.parts;
    if (pace < MIN_SLOWDOWN || speeds.slowdownOf(server, clock.monotonicMs()) > 1) return;
    if (this.#checked.has(server.id) || this.#checked.size >= MAX_CHECKED) return;
    void this.#confirm(server);
  }

  async #confirm(server: BackendServer): Promise<void> {
    this.#checked.add(server.id);
    try {
      for (let query = 0; query < CONFIRMING_QUERIES; query += 1) {
        await delay(this.parts.clock, QUERY_PERIOD_MS);
        // The pace in the response is recorded like that in any other.
        const status = await this.parts.readStatus(server);
        if ((status?.pace ?? 1) < MIN_SLOWDOWN) return;
      }
    } finally {
      this.#checked.delete(server.id);
    }
  }
}
