import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EngineMemory } from '../ports.js';
import type { ServerList } from '../store/server-list.js';
import type { Choice } from './choice.js';
import { PrefillMonitor } from './prefill-monitor.js';
import { SilenceMonitor } from './silence-monitor.js';

/** What the watch needs. */
export interface AttemptMonitorParts {
  readonly clock: Clock;
  readonly memory: EngineMemory;
  readonly servers: ServerList;
  readonly route: Route;
  /** Whether another server may be tried, so that silence and dead readers are looked for. */
  readonly mayRepeat: boolean;
  /** A server that the attempt needs is silent or dead, and why that is believed. */
  readonly onUnresponsive: (server: BackendServer, why: string) => void;
  /** A server that the attempt needs has started again, and knows nothing of it. */
  readonly onRestarted: (server: BackendServer) => void;
}

/** Looks after the servers that one attempt at a time needs. */
export class AttemptMonitor {
  readonly #silence: SilenceMonitor;
  readonly #prefills: PrefillMonitor;
  #stopWatchingRestarts: () => void = () => undefined;

  constructor(readonly parts: AttemptMonitorParts) {
    const { clock, memory, route, onUnresponsive } = parts;
    const isResponsive = async (server: BackendServer) =>
      (await memory.readStatus(server)) !== undefined;
    this.#silence = new SilenceMonitor({
      clock,
      route,
      isResponsive,
      onSilent: (server) => {
        onUnresponsive(server, 'silent');
      },
    });
    this.#prefills = new PrefillMonitor({
      clock,
      isResponsive,
      onUnresponsive: (server) => {
        onUnresponsive(server, 'it reads a part and gives no answer');
      },
    });
  }

  /** Begins with an attempt that starts now. */
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
    if (choice.readers.length > 0) this.#prefills.begin(requiredServers);
  }

  /** Events have come: the prompt is read. */
  onEvents(): void {
    this.#prefills.end();
    if (this.parts.mayRepeat) this.#silence.onEvents();
  }

  /** Ends; nothing where nothing is watched. */
  end(): void {
    this.#silence.end();
    this.#prefills.end();
    this.#stopWatchingRestarts();
  }
}
