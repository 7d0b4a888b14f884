import { randomId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { AttemptUse, BackendServer, FleetView } from '@poppypond/fleet';
import type { ActiveConfiguration, EngineFigures } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import type { EngineStatus } from '../ports.js';
import type { ServerList } from '../store/server-list.js';

/** Dependencies of OrphanedWork. */
export interface OrphanedWorkParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly activeConfiguration: ActiveConfiguration;
  readonly servers: ServerList;
  readonly fleet: FleetView;
  /** Queries the status of an engine; undefined if it does not respond. */
  readonly readStatus: (server: BackendServer) => Promise<EngineStatus | undefined>;
}

/**
 * A host that has run for longer knows from its peers what runs on engines: streams that no host
 * reported have ended by then.
 */
const STARTUP_WINDOW_MS: Milliseconds = 5000;
/**
 * Engines that are queried at the same time, each on a connection of its own. An engine answers
 * within some milliseconds, so 720 engines take half a second.
 */
const MAX_PARALLEL_QUERIES = 12;
/** Host name under which orphaned streams are counted; no host has this name. */
const ENDED_HOST = '';
/** No caller waits for the events of orphaned streams. */
const NO_GAP_TARGET_MS: Milliseconds = Number.POSITIVE_INFINITY;

/** An orphaned stream, assumed to last as long as an answer usually takes. */
function orphanedUse(
  server: BackendServer,
  figures: EngineFigures,
  contextTokens: number,
  nowMs: Milliseconds,
): AttemptUse {
  return {
    attemptId: randomId(),
    host: ENDED_HOST,
    writerId: server.id,
    readerIds: [],
    partMs: 0,
    isPrefilling: false,
    placedAtMs: nowMs,
    contextTokens,
    held: [],
    gapAimMs: NO_GAP_TARGET_MS,
    expiresAtMs: nowMs + figures.usualAnswerTokens * figures.stepMs,
  };
}

/**
 * Counts, when a host that has just started first plans for a service, the streams that its engines
 * still run for hosts that have ended. After a power loss engines keep decoding for callers that
 * are gone; a planner that considers these engines free would send them prompts that then wait
 * for a slot.
 */
export class OrphanedWork {
  readonly #queriedServices = new Set<string>();
  readonly #startedAtMs: Milliseconds;

  constructor(readonly parts: OrphanedWorkParts) {
    this.#startedAtMs = parts.clock.monotonicMs();
  }

  /** Queries all engines of a service, once, if this host has just started. */
  discover(service: string): void {
    if (this.#queriedServices.has(service)) return;
    this.#queriedServices.add(service);
    const { clock, activeConfiguration, servers } = this.parts;
    const figures = activeConfiguration.table?.service(service)?.engine;
    if (!figures || clock.monotonicMs() - this.#startedAtMs > STARTUP_WINDOW_MS) return;
    const left = [...servers.available(service)];
    for (let query = 0; query < MAX_PARALLEL_QUERIES; query += 1) void this.#query(left, figures);
  }

  /** Queries the engines in `left` one after the other, until none is left. */
  async #query(left: BackendServer[], figures: EngineFigures): Promise<void> {
    for (let server = left.shift(); server; server = left.shift()) {
      if (this.parts.clock.monotonicMs() - this.#startedAtMs > STARTUP_WINDOW_MS) return;
      await this.#countOrphans(server, figures);
    }
  }

  async #countOrphans(server: BackendServer, figures: EngineFigures): Promise<void> {
    const { clock, fleet, log, readStatus } = this.parts;
    const status = await readStatus(server);
    if (!status) return;
    const known = fleet.writersOn(server.id);
    const unknown = Math.max(0, Math.min(status.running, figures.slots) - known);
    if (unknown === 0) return;
    const nowMs = clock.monotonicMs();
    const contextTokens = status.memoryTokens / Math.max(1, status.running);
    for (let index = 0; index < unknown; index += 1) {
      fleet.begin(orphanedUse(server, figures, contextTokens, nowMs));
    }
    log.info('earlier_work', {
      server: server.id,
      running: status.running,
      known,
      memory_tokens: status.memoryTokens,
    });
  }
}
