import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { AttemptUse } from './attempt-use.js';
import type { BackendServer } from './backend-server.js';
import { engineLoad } from './engine-load.js';
import type { EngineLoad } from './engine-load.js';
import { Suspicions } from './suspicions.js';

/** A host hears of a placement that was made for it within a few milliseconds of its last heartbeat. */
const JUST_PLACED_MS: Milliseconds = 200;

/** Every attempt that is known to run, on whichever host, and what follows for each engine. */
export class FleetView {
  readonly #attempts = new Map<string, AttemptUse>();
  readonly #byEngine = new Map<string, Set<AttemptUse>>();
  /** Loads as of one instant, until anything changes: all that wait are looked at together. */
  readonly #loads = new Map<string, EngineLoad>();
  #loadsAtMs: Milliseconds = Number.NaN;
  /** Servers that failed lately. */
  readonly suspicions = new Suspicions();

  /** Attempts that are known, of all hosts. */
  get size(): number {
    return this.#attempts.size;
  }

  /** Adds an attempt, or replaces what is known of it. */
  begin(use: AttemptUse): void {
    this.end(use.attemptId);
    this.#attempts.set(use.attemptId, use);
    this.#loads.clear();
    this.#usesOf(use.writerId).add(use);
    for (const id of use.readerIds) this.#usesOf(id).add(use);
  }

  /** The first event came, so reading is over on all engines concerned. */
  onReadDone(attemptId: string): void {
    const use = this.#attempts.get(attemptId);
    if (use?.isReading) this.begin({ ...use, isReading: false });
  }

  /** Drops an attempt; nothing where it is not known. */
  end(attemptId: string): void {
    const use = this.#attempts.get(attemptId);
    if (!use) return;
    this.#attempts.delete(attemptId);
    this.#loads.clear();
    for (const id of [use.writerId, ...use.readerIds]) {
      const uses = this.#byEngine.get(id);
      uses?.delete(use);
      if (uses?.size === 0) this.#byEngine.delete(id);
    }
  }

  /**
   * Replaces all that is known of `host`, which has sent its whole list; but for what was placed
   * for it so lately that it may not have known yet.
   */
  replaceHost(host: string, uses: readonly AttemptUse[], nowMs: Milliseconds): void {
    const kept = new Set(uses.map((use) => use.attemptId));
    for (const use of [...this.#attempts.values()]) {
      if (use.host !== host || kept.has(use.attemptId)) continue;
      if (nowMs - use.placedAtMs > JUST_PLACED_MS) this.end(use.attemptId);
    }
    for (const use of uses) {
      if (!this.#attempts.has(use.attemptId)) this.begin(use);
      else if (!use.isReading) this.onReadDone(use.attemptId);
    }
  }

  /** Drops all that `host` placed. */
  dropHost(host: string): void {
    for (const use of this.attemptsOf(host)) this.end(use.attemptId);
  }

  /** Attempts that `host` placed. */
  attemptsOf(host: string): readonly AttemptUse[] {
    return [...this.#attempts.values()].filter((use) => use.host === host);
  }

  /** Drops attempts whose end was never heard of. */
  expire(nowMs: Milliseconds): void {
    for (const use of [...this.#attempts.values()]) {
      if (use.expiresAtMs <= nowMs) this.end(use.attemptId);
    }
    this.suspicions.expire(nowMs);
  }

  /** Attempts that run on a server, those that it only helps to read left out. */
  writersOn(serverId: string): number {
    let writers = 0;
    for (const use of this.#byEngine.get(serverId) ?? [])
      if (use.writerId === serverId) writers += 1;
    return writers;
  }

  /** What is believed about `server` now. */
  load(server: BackendServer, figures: EngineFigures, nowMs: Milliseconds): EngineLoad {
    const avoidedMs = this.suspicions.leftMs(server.id, nowMs);
    if (this.#loadsAtMs !== nowMs) this.#loads.clear();
    this.#loadsAtMs = nowMs;
    const known = this.#loads.get(server.id);
    if (known?.server === server && known.avoidedMs === avoidedMs) return known;
    const uses = this.#byEngine.get(server.id) ?? new Set();
    const load = engineLoad(server, figures, uses, { nowMs, avoidedMs });
    this.#loads.set(server.id, load);
    return load;
  }

  #usesOf(engineId: string): Set<AttemptUse> {
    const known = this.#byEngine.get(engineId);
    if (known) return known;
    const made = new Set<AttemptUse>();
    this.#byEngine.set(engineId, made);
    return made;
  }
}
