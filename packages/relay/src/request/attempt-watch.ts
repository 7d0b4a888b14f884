import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EngineMemory } from '../ports.js';
import type { ServerList } from '../store/server-list.js';
import type { Choice } from './choice.js';
import { ReadWatch } from './read-watch.js';
import { SilenceWatch } from './silence-watch.js';

/** What the watch needs. */
export interface AttemptWatchParts {
  readonly clock: Clock;
  readonly memory: EngineMemory;
  readonly servers: ServerList;
  readonly route: Route;
  /** Whether another server may be tried, so that silence and dead readers are looked for. */
  readonly mayRepeat: boolean;
  /** A server that the attempt needs is silent or dead, and why that is believed. */
  readonly onDead: (server: BackendServer, why: string) => void;
  /** A server that the attempt needs has started again, and knows nothing of it. */
  readonly onLifeOver: (server: BackendServer) => void;
}

/** Looks after the servers that one attempt at a time needs. */
export class AttemptWatch {
  readonly #silence: SilenceWatch;
  readonly #reads: ReadWatch;
  #endLives: () => void = () => undefined;

  constructor(readonly parts: AttemptWatchParts) {
    const { clock, memory, route, onDead } = parts;
    const isAlive = async (server: BackendServer) =>
      (await memory.readStatus(server)) !== undefined;
    this.#silence = new SilenceWatch({
      clock,
      route,
      isAlive,
      onSilent: (server) => {
        onDead(server, 'silent');
      },
    });
    this.#reads = new ReadWatch({
      clock,
      isAlive,
      onDead: (server) => {
        onDead(server, 'it reads a part and gives no answer');
      },
    });
  }

  /** Begins with an attempt that starts now. */
  begin(choice: Choice, timeLeftMs: Milliseconds): void {
    const needed = [choice.server, ...choice.readers];
    const ends = needed.map((server) =>
      this.parts.servers.watchIncarnation(server, () => {
        this.parts.onLifeOver(server);
      }),
    );
    this.#endLives = () => {
      for (const end of ends) end();
    };
    if (!this.parts.mayRepeat) return;
    this.#silence.begin(choice, timeLeftMs);
    if (choice.readers.length > 0) this.#reads.begin(needed);
  }

  /** Events have come: the prompt is read. */
  onEvents(): void {
    this.#reads.end();
    if (this.parts.mayRepeat) this.#silence.onEvents();
  }

  /** Ends; nothing where nothing is watched. */
  end(): void {
    this.#silence.end();
    this.#reads.end();
    this.#endLives();
  }
}
