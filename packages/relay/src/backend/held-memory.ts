import { delay } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { EngineMemory } from '../ports.js';

/** Memory of one engine that a request needs. */
export interface MemoryNeed {
  readonly server: BackendServer;
  readonly tokens: number;
}

/**
 * Memory is held for a short time and held on while the request lives, so that what a host leaves
 * behind that dies, or an order that is carried out late, is free again within seconds.
 */
const HOLD_MS: Milliseconds = 3500;
const HOLD_ON_PERIOD_MS: Milliseconds = 1000;
const RELEASE_TRIES = 3;
const RELEASE_PAUSE_MS: Milliseconds = 200;

/** What holding memory needs. */
export interface HeldMemoryParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly memory: EngineMemory;
}

/** The memory that one attempt holds on engines that don't write it. */
export class HeldMemory {
  #cancel: CancelTimer = () => undefined;
  #isReleased = false;

  private constructor(
    readonly parts: HeldMemoryParts,
    /** Names the memory; never used twice. */
    readonly id: string,
    readonly requestId: string,
    readonly needs: readonly MemoryNeed[],
  ) {}

  /** Holds all that is needed, or nothing. */
  static async take(
    parts: HeldMemoryParts,
    id: string,
    requestId: string,
    needs: readonly MemoryNeed[],
  ): Promise<HeldMemory | undefined> {
    const held = new HeldMemory(parts, id, requestId, needs);
    const answers = await held.#reserveAll();
    const isWhole = answers.every((isHeld) => isHeld);
    parts.log.info('memory_held', {
      request: requestId,
      reservation: id,
      engines: needs.length,
      tokens: needs.reduce((sum, need) => sum + need.tokens, 0),
      held: isWhole,
    });
    if (!isWhole) {
      await held.release();
      return undefined;
    }
    held.#cancel = parts.clock.every(HOLD_ON_PERIOD_MS, () => {
      void held.#reserveAll();
    });
    return held;
  }

  /** Frees everything; tries again where no answer comes, else it lapses. */
  async release(): Promise<void> {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#cancel();
    await Promise.all(this.needs.map((need) => this.#releaseOne(need.server)));
  }

  #reserveAll(): Promise<readonly boolean[]> {
    const { memory } = this.parts;
    return Promise.all(
      this.needs.map(({ server, tokens }) => memory.reserve(server, this.id, tokens, HOLD_MS)),
    );
  }

  async #releaseOne(server: BackendServer): Promise<void> {
    for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
      if (await this.parts.memory.release(server, this.id)) return;
      await delay(this.parts.clock, RELEASE_PAUSE_MS);
    }
    this.parts.log.warn('memory_left_to_lapse', {
      request: this.requestId,
      reservation: this.id,
      server: server.id,
      within_ms: HOLD_MS,
    });
  }
}
