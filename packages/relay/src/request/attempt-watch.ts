import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EngineMemory } from '../ports.js';
import type { ServerList } from '../store/server-list.js';
import type { Choice } from './choice.js';
import { PrefillWatch } from './prefill-watch.js';
import { SilenceWatch } from './silence-watch.js';

/** Dependencies of `AttemptWatch`. */
export interface AttemptWatchParts {
  readonly clock: Clock;
  readonly memory: EngineMemory;
  readonly servers: ServerList;
  readonly route: Route;
  /**
   * Whether another server may be tried; if not, silence and dead prefill engines are not
   * monitored.
   */
  readonly mayRepeat: boolean;
  /** Whether the connection of the current attempt is lost, whatever its server does. */
  readonly isConnectionLost: (server: BackendServer) => boolean;
  /**
   * Called when a server that the attempt depends on is silent or dead, with the reason. Returns
   * whether the attempt ends.
   */
  readonly onUnresponsive: (server: BackendServer, why: string) => boolean;
  /** Called when a server that the attempt depends on has restarted and lost its work. */
  readonly onRestarted: (server: BackendServer) => void;
}

/**
 * An engine that prefills alone is sent status queries from this expected time on. A shorter
 * prefill is checked after at most 2.7 s of silence; for one of 9 s that would be 13.8 s, when too
 * little time is left for another engine.
 */
const MIN_WATCHED_PREFILL_MS: Milliseconds = 1600;

/** Reason of an attempt whose server has sent nothing for too long. */
export const SILENT = 'silent';

/** Monitors the servers that the current attempt depends on. */
export class AttemptWatch {
  readonly #silence: SilenceWatch;
  readonly #prefills: PrefillWatch;
  #stopWatchingRestarts: () => void = () => undefined;

  constructor(readonly parts: AttemptWatchParts) {
    const { clock, memory, route, isConnectionLost, onUnresponsive } = parts;
    const isResponsive = async (server: BackendServer) =>
      (await memory.readStatus(server)) !== undefined;
    this.#silence = new SilenceWatch({
      clock,
      route,
      isResponsive,
      isConnectionLost,
      onSilent: (server) => onUnresponsive(server, SILENT),
    });
    this.#prefills = new PrefillWatch({
      clock,
      isResponsive,
      onUnresponsive: (server) =>
        onUnresponsive(server, 'prefills and does not answer status queries'),
    });
  }

  /** Starts monitoring an attempt that begins now. */
  begin(choice: Choice, timeLeftMs: Milliseconds): void {
    const requiredServers = [choice.server, ...choice.readers];
    const ends = requiredServers.map((server) =>
      this.parts.servers.watchIncarnation(server, () => {
        this.parts.onRestarted(server);
      }),
    );
    this.#stopWatchingRestarts = () => {
      for (const end of ends) end();
    };
    if (!this.parts.mayRepeat) return;
    this.#silence.begin(choice, timeLeftMs);
    const prefillMs = choice.plan?.stream.expectedFirstMs ?? 0;
    if (choice.readers.length > 0 || prefillMs >= MIN_WATCHED_PREFILL_MS)
      this.#prefills.begin(requiredServers);
  }

  /** Records events, which mean that the prefill is done. */
  onEvents(): void {
    this.#prefills.end();
    if (this.parts.mayRepeat) this.#silence.onEvents();
  }

  /** Stops monitoring; does nothing if nothing is monitored. */
  end(): void {
    this.#silence.end();
    this.#prefills.end();
    this.#stopWatchingRestarts();
  }
}
