import { randomId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { AttemptUse, BackendServer, FleetView } from '@poppypond/fleet';
import type { ActiveConfiguration, EngineFigures } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import type { EngineStatus } from '../ports.js';
import type { ServerList } from '../store/server-list.js';

/** What learning of earlier work needs. */
export interface EarlierWorkParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly inForce: ActiveConfiguration;
  readonly servers: ServerList;
  readonly fleet: FleetView;
  /** Asks an engine; undefined where no answer came. */
  readonly readWork: (server: BackendServer) => Promise<EngineStatus | undefined>;
}

/**
 * Hosts that have run for longer know from each other what runs on engines: answers that nobody
 * told of have ended by then.
 */
const YOUNG_MS: Milliseconds = 5000;
/** Names the work of hosts that have ended; no host has this name. */
const EARLIER_HOST = '';
/** Nobody waits for the events of such work. */
const NO_GAP_AIM_MS: Milliseconds = Number.POSITIVE_INFINITY;

/** Work of which nobody told, for as long as an answer usually takes. */
function earlierUse(
  server: BackendServer,
  figures: EngineFigures,
  contextTokens: number,
  nowMs: Milliseconds,
): AttemptUse {
  return {
    attemptId: randomId(),
    host: EARLIER_HOST,
    writerId: server.id,
    readerIds: [],
    partMs: 0,
    isPrefilling: false,
    placedAtMs: nowMs,
    contextTokens,
    held: [],
    gapAimMs: NO_GAP_AIM_MS,
    expiresAtMs: nowMs + figures.usualAnswerTokens * figures.stepMs,
  };
}

/**
 * Learns, when a host that has just started first plans for a service, what its engines still run
 * for hosts that ended before: after a loss of power they write on for callers that are gone, and
 * a planner that packs the engines it takes to be free would have new prompts wait for places there.
 */
export class EarlierWork {
  readonly #asked = new Set<string>();
  readonly #startedAtMs: Milliseconds;

  constructor(readonly parts: EarlierWorkParts) {
    this.#startedAtMs = parts.clock.monotonicMs();
  }

  /** Asks all engines of a service, once, where this host has just started. */
  learn(service: string): void {
    if (this.#asked.has(service)) return;
    this.#asked.add(service);
    const { clock, inForce, servers } = this.parts;
    const figures = inForce.table?.service(service)?.engine;
    if (!figures || clock.monotonicMs() - this.#startedAtMs > YOUNG_MS) return;
    for (const server of servers.available(service)) void this.#learnOf(server, figures);
  }

  async #learnOf(server: BackendServer, figures: EngineFigures): Promise<void> {
    const { clock, fleet, log, readWork } = this.parts;
    const work = await readWork(server);
    if (!work) return;
    const known = fleet.writersOn(server.id);
    const unknown = Math.max(0, Math.min(work.running, figures.slots) - known);
    if (unknown === 0) return;
    const nowMs = clock.monotonicMs();
    const contextTokens = work.memoryTokens / Math.max(1, work.running);
    for (let index = 0; index < unknown; index += 1) {
      fleet.begin(earlierUse(server, figures, contextTokens, nowMs));
    }
    log.info('earlier_work', {
      server: server.id,
      running: work.running,
      known,
      memory_tokens: work.memoryTokens,
    });
  }
}
