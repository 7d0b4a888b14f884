import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Configuration, Versioned } from '@poppypond/objects';
import type { EngineState } from '@poppypond/policy';
import type { PlacedEngine } from '../completions/run-context.js';
import { WatchedEngine } from './watched-engine.js';
import type { WatchSettings } from './watched-engine.js';

/** Settings of `EngineDirectory`. */
export interface EngineDirectorySettings extends WatchSettings {
  readonly host: string;
  readonly maxEnginesWatched: number;
  readonly engineReportMaxAgeMs: Milliseconds;
}

/** An engine that can take new requests, with its estimated state. */
export interface AvailableEngine {
  readonly engine: PlacedEngine;
  readonly state: EngineState;
}

/** Engines that the dispatcher selects from. */
export interface EngineSource {
  /**
   * Engines of these pools that have the model loaded and can take new requests, in the rendezvous
   * order of each pool.
   */
  listAvailable(pools: readonly string[], model: string): readonly AvailableEngine[];
  /** All known engines, whether or not they can take new requests. */
  all(): readonly PlacedEngine[];
}

/** Engines that this host uses, synchronized with the configuration. */
export class EngineDirectory implements EngineSource {
  readonly #engines = new Map<string, WatchedEngine>();
  #poolOrder = new Map<string, readonly string[]>();
  /** Servers that the host list or a peer reports as leaving. */
  #leaving: ReadonlySet<string> = new Set();
  /** Called when an engine may have become able to take new requests. */
  onChange: () => void = () => undefined;

  constructor(
    readonly settings: EngineDirectorySettings,
    readonly owner: Owner,
    readonly clock: Clock,
  ) {}

  /** Watches added engines and stops watching removed ones; one with a new URL is watched anew. */
  sync(configuration: Configuration): void {
    const wanted = this.#selectEngines(configuration);
    for (const [name, watched] of this.#engines) {
      const server = wanted.get(name);
      if (server?.object.spec.url === watched.url) continue;
      watched.stop();
      this.#engines.delete(name);
    }
    for (const [name, server] of wanted) {
      if (this.#engines.has(name)) continue;
      const watched = new WatchedEngine(server, this.settings, this.owner, this.clock, () => {
        this.onChange();
      });
      this.#engines.set(name, watched);
    }
  }

  #selectEngines(configuration: Configuration): Map<string, Versioned<'backend-server'>> {
    const wanted = new Map<string, Versioned<'backend-server'>>();
    const poolOrder = new Map<string, readonly string[]>();
    for (const { object: pool } of configuration.list('pool')) {
      const engines = configuration
        .poolMembers(pool.name)
        .filter((server) => server.object.spec.kind === 'engine');
      const byHostRank = rendezvousOrder(
        this.settings.host,
        engines,
        (server) => server.object.name,
      );
      const selected = byHostRank.slice(0, this.settings.maxEnginesWatched);
      for (const server of selected) wanted.set(server.object.name, server);
      const ordered = rendezvousOrder(pool.name, selected, (server) => server.object.name);
      poolOrder.set(
        pool.name,
        ordered.map((server) => server.object.name),
      );
    }
    this.#poolOrder = poolOrder;
    return wanted;
  }

  setLeavingServers(names: ReadonlySet<string>): void {
    this.#leaving = names;
  }

  find(name: string): WatchedEngine | undefined {
    return this.#engines.get(name);
  }

  all(): readonly WatchedEngine[] {
    return [...this.#engines.values()];
  }

  /** Names of the engines whose own load reports say that they are leaving. */
  selfReportedLeaving(): readonly string[] {
    return this.all()
      .filter((watched) => watched.load.report?.isLeaving === true)
      .map((watched) => watched.name);
  }

  listAvailable(pools: readonly string[], model: string): readonly AvailableEngine[] {
    const now = this.clock.monotonicMs();
    const found = new Map<string, AvailableEngine>();
    for (const pool of pools) {
      for (const name of this.#poolOrder.get(pool) ?? []) {
        const watched = this.#engines.get(name);
        if (!watched || found.has(name) || this.#leaving.has(name)) continue;
        if (!watched.canTakeWork(this.settings.engineReportMaxAgeMs)) continue;
        if (!(model in (watched.load.report?.models ?? {}))) continue;
        found.set(name, { engine: watched, state: watched.load.state(now) });
      }
    }
    return [...found.values()];
  }

  /** Memory of each engine of a pool that has reported, even if it takes no requests now. */
  reportedMemory(pool: string): readonly number[] {
    const names = this.#poolOrder.get(pool) ?? [];
    return names.flatMap((name) => this.#engines.get(name)?.load.report?.kvTokens ?? []);
  }

  stop(): void {
    for (const watched of this.#engines.values()) watched.stop();
    this.#engines.clear();
  }
}
