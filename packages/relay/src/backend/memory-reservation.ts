import { delay } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import type { EngineMemory } from '../ports.js';

/** KV cache memory that a request needs on one engine. */
interface MemoryNeed {
  readonly server: BackendServer;
  readonly tokens: number;
}

/** What memory is reserved for. */
export interface ReservationRequest {
  readonly requestId: string;
  /** The engine that generates the answer. */
  readonly decodeEngine: BackendServer;
  readonly needs: readonly MemoryNeed[];
  /**
   * Called when the decode engine no longer answers status queries; the reservations expire soon
   * after.
   */
  readonly onDecodeEngineLost: (engine: BackendServer) => void;
}

/**
 * Reservations are short and are renewed while the request runs, so that memory that a crashed host
 * leaves behind, or that a delayed command reserves, is freed within seconds.
 */
const RESERVATION_MS: Milliseconds = 2200;
const RENEWAL_PERIOD_MS: Milliseconds = 700;
const MAX_RELEASE_ATTEMPTS = 3;
const RELEASE_RETRY_DELAY_MS: Milliseconds = 200;

/** Dependencies of `MemoryReservation`. */
export interface MemoryReservationParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly memory: EngineMemory;
}

/** The memory that one attempt reserves on engines other than its decode engine. */
export class MemoryReservation {
  #cancelRenewals: CancelTimer = () => undefined;
  #isReleased = false;
  /** Until when memory is reserved at least, by engine id, on this process's clock. */
  readonly #reservedUntilMs = new Map<string, Milliseconds>();
  /** Whether the decode engine answered the last status query. */
  #isDecodeEngineResponsive = true;

  private constructor(
    readonly parts: MemoryReservationParts,
    /** Identifies the reservation on all engines; never reused. */
    readonly id: string,
    readonly use: ReservationRequest,
  ) {}

  /**
   * Reserves memory on all engines. Releases everything and returns undefined if one of them does
   * not reserve it.
   */
  static async acquire(
    parts: MemoryReservationParts,
    id: string,
    use: ReservationRequest,
  ): Promise<MemoryReservation | undefined> {
    const held = new MemoryReservation(parts, id, use);
    const results = await held.#reserveAll().catch(async (error: unknown) => {
      await held.release();
      throw error;
    });
    const isComplete = results.every((isReserved) => isReserved);
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

  /**
   * Releases everything. Retries a few times where no answer comes; after that the reservation
   * expires by itself.
   */
  async release(): Promise<void> {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#cancelRenewals();
    await Promise.all(this.use.needs.map((need) => this.#releaseOne(need.server)));
  }

  /**
   * Renews the reservations while the decode engine answers status queries. An engine that has died
   * no longer uses the memory, but its attempt may run until its deadline if it may not be retried:
   * renewals would then keep the memory reserved for 5 s and longer.
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
    // During a backoff of the engine one command reserves the memory until the next command may be
    // sent.
    const nowMs = clock.monotonicMs();
    if ((this.#reservedUntilMs.get(server.id) ?? 0) > nowMs + RESERVATION_MS) return true;
    const { isReserved, reservedForMs = RESERVATION_MS } = await memory.reserve(
      server,
      this.id,
      tokens,
      RESERVATION_MS,
      this.#reservedUntilMs.has(server.id),
    );
    if (isReserved) this.#reservedUntilMs.set(server.id, nowMs + reservedForMs);
    return isReserved;
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
