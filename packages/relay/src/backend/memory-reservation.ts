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
export interface ReservationRequest {
  readonly requestId: string;
  /** The engine that writes the answer. */
  readonly decodeEngine: BackendServer;
  readonly needs: readonly MemoryNeed[];
  /** Called when the writer no longer answers; what is held is free again soon after. */
  readonly onDecodeEngineLost: (writer: BackendServer) => void;
}

/**
 * Memory is held for a short time and held on while the request lives, so that what a host leaves
 * behind that dies, or an order that is carried out late, is free again within seconds.
 */
const RESERVATION_MS: Milliseconds = 2200;
const RENEWAL_PERIOD_MS: Milliseconds = 700;
const MAX_RELEASE_ATTEMPTS = 3;
const RELEASE_RETRY_DELAY_MS: Milliseconds = 200;

/** What holding memory needs. */
export interface MemoryReservationParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly memory: EngineMemory;
}

/** The memory that one attempt holds on engines that don't write it. */
export class MemoryReservation {
  #cancelRenewals: CancelTimer = () => undefined;
  #isReleased = false;
  /** Until when memory is held on each engine at least, by id, on this process's clock. */
  readonly #reservedUntilMs = new Map<string, Milliseconds>();
  /** Whether the writer answered the last question for its state. */
  #isDecodeEngineResponsive = true;

  private constructor(
    readonly parts: MemoryReservationParts,
    /** Names the memory; never used twice. */
    readonly id: string,
    readonly use: ReservationRequest,
  ) {}

  /** Holds all that is needed, or nothing. */
  static async acquire(
    parts: MemoryReservationParts,
    id: string,
    use: ReservationRequest,
  ): Promise<MemoryReservation | undefined> {
    const held = new MemoryReservation(parts, id, use);
    const results = await held.#reserveAll();
    const isComplete = results.every((isHeld) => isHeld);
    parts.log.info('memory_held', {
      request: use.requestId,
      reservation: id,
      engines: use.needs.length,
      tokens: use.needs.reduce((sum, need) => sum + need.tokens, 0),
      held: isComplete,
    });
    if (!isComplete) {
      await held.release();
      return undefined;
    }
    held.#cancelRenewals = parts.clock.every(RENEWAL_PERIOD_MS, () => {
      void held.#renew();
    });
    return held;
  }

  /** Frees everything; tries again where no answer comes, else it lapses. */
  async release(): Promise<void> {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#cancelRenewals();
    await Promise.all(this.use.needs.map((need) => this.#releaseOne(need.server)));
  }

  /**
   * Holds on for a writer that lives. One that has died uses the memory no more, while its attempt may
   * wait to its end where no other may follow: the memory then stayed held for 5 s and more.
   */
  async #renew(): Promise<void> {
    const wasResponsive = this.#isDecodeEngineResponsive;
    if (wasResponsive) void this.#reserveAll();
    const status = await this.parts.memory.readStatus(this.use.decodeEngine);
    if (this.#isReleased) return;
    this.#isDecodeEngineResponsive = status !== undefined;
    if (!status) this.use.onDecodeEngineLost(this.use.decodeEngine);
    else if (!wasResponsive) void this.#reserveAll();
  }

  #reserveAll(): Promise<readonly boolean[]> {
    return Promise.all(this.use.needs.map((need) => this.#reserveOne(need)));
  }

  async #reserveOne({ server, tokens }: MemoryNeed): Promise<boolean> {
    const { clock, memory } = this.parts;
    // Where an engine rests, one order holds the memory until it may be sent the next.
    const nowMs = clock.monotonicMs();
    if ((this.#reservedUntilMs.get(server.id) ?? 0) > nowMs + RESERVATION_MS) return true;
    const { isHeld, heldForMs = RESERVATION_MS } = await memory.reserve(
      server,
      this.id,
      tokens,
      RESERVATION_MS,
    );
    if (isHeld) this.#reservedUntilMs.set(server.id, nowMs + heldForMs);
    return isHeld;
  }

  async #releaseOne(server: BackendServer): Promise<void> {
    for (let tries = 0; tries < MAX_RELEASE_ATTEMPTS; tries += 1) {
      const { isAnswered } = await this.parts.memory.release(server, this.id);
      if (isAnswered) return;
      await delay(this.parts.clock, RELEASE_RETRY_DELAY_MS);
    }
    this.parts.log.warn('memory_left_to_lapse', {
      request: this.use.requestId,
      reservation: this.id,
      server: server.id,
      within_ms: RESERVATION_MS,
    });
  }
}
