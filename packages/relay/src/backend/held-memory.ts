import { delay } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { EngineMemory } from '../ports.js';

/** Memory of one engine that a request needs. */
interface MemoryNeed {
  readonly server: BackendServer;
  readonly tokens: number;
}

/** What memory is held for. */
export interface MemoryUse {
  readonly requestId: string;
  /** The engine that writes the answer. */
  readonly writer: BackendServer;
  readonly needs: readonly MemoryNeed[];
  /** Called when the writer no longer answers; what is held is free again soon after. */
  readonly onWriterLost: (writer: BackendServer) => void;
}

/**
 * Memory is held for a short time and held on while the request lives, so that what a host leaves
 * behind that dies, or an order that is carried out late, is free again within seconds.
 */
const HOLD_MS: Milliseconds = 2200;
const HOLD_ON_PERIOD_MS: Milliseconds = 700;
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
  /** Until when memory is held on each engine at least, by id, on this process's clock. */
  readonly #heldUntilMs = new Map<string, Milliseconds>();
  /** Whether the writer answered the last question for its state. */
  #isWriterHeard = true;

  private constructor(
    readonly parts: HeldMemoryParts,
    /** Names the memory; never used twice. */
    readonly id: string,
    readonly use: MemoryUse,
  ) {}

  /** Holds all that is needed, or nothing. */
  static async take(
    parts: HeldMemoryParts,
    id: string,
    use: MemoryUse,
  ): Promise<HeldMemory | undefined> {
    const held = new HeldMemory(parts, id, use);
    const answers = await held.#reserveAll();
    const isWhole = answers.every((isHeld) => isHeld);
    parts.log.info('memory_held', {
      request: use.requestId,
      reservation: id,
      engines: use.needs.length,
      tokens: use.needs.reduce((sum, need) => sum + need.tokens, 0),
      held: isWhole,
    });
    if (!isWhole) {
      await held.release();
      return undefined;
    }
    held.#cancel = parts.clock.every(HOLD_ON_PERIOD_MS, () => {
      void held.#holdOn();
    });
    return held;
  }

  /** Frees everything; tries again where no answer comes, else it lapses. */
  async release(): Promise<void> {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#cancel();
    await Promise.all(this.use.needs.map((need) => this.#releaseOne(need.server)));
  }

  /**
   * Holds on for a writer that lives. One that has died uses the memory no more, while its attempt may
   * wait to its end where no other may follow: the memory then stayed held for 5 s and more.
   */
  async #holdOn(): Promise<void> {
    const wasHeard = this.#isWriterHeard;
    if (wasHeard) void this.#reserveAll();
    const work = await this.parts.memory.readStatus(this.use.writer);
    if (this.#isReleased) return;
    this.#isWriterHeard = work !== undefined;
    if (!work) this.use.onWriterLost(this.use.writer);
    else if (!wasHeard) void this.#reserveAll();
  }

  #reserveAll(): Promise<readonly boolean[]> {
    return Promise.all(this.use.needs.map((need) => this.#reserveOne(need)));
  }

  async #reserveOne({ server, tokens }: MemoryNeed): Promise<boolean> {
    const { clock, memory } = this.parts;
    // Where an engine rests, one order holds the memory until it may be sent the next.
    const nowMs = clock.monotonicMs();
    if ((this.#heldUntilMs.get(server.id) ?? 0) > nowMs + HOLD_MS) return true;
    const { isHeld, heldForMs = HOLD_MS } = await memory.reserve(server, this.id, tokens, HOLD_MS);
    if (isHeld) this.#heldUntilMs.set(server.id, nowMs + heldForMs);
    return isHeld;
  }

  async #releaseOne(server: BackendServer): Promise<void> {
    for (let tries = 0; tries < RELEASE_TRIES; tries += 1) {
      const { isAnswered } = await this.parts.memory.release(server, this.id);
      if (isAnswered) return;
      await delay(this.parts.clock, RELEASE_PAUSE_MS);
    }
    this.parts.log.warn('memory_left_to_lapse', {
      request: this.use.requestId,
      reservation: this.id,
      server: server.id,
      within_ms: HOLD_MS,
    });
  }
}
