import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type {
  EngineMemory,
  EngineStatus,
  ReleaseResult,
  ReserveResult,
  ServerNotice,
} from '../ports.js';

/** Takes in what an engine tells of itself in answers to orders and in reports. */
export interface EngineObserver {
  /** The birth of the life that answered. */
  onStartTime(asked: BackendServer, bornMs: Milliseconds): void;
  /** Whether it leaves or wants rest. */
  onNotice(asked: BackendServer, word: ServerNotice): void;
}

/** Whether an engine may be sent an order or a question now, by what it said itself. */
export interface EngineGate {
  tryReservationCommand(server: BackendServer): boolean;
  tryStatusQuery(server: BackendServer): Promise<boolean>;
  /** Whether it names a limit of what it is sent. */
  isLimited(server: BackendServer): boolean;
  /** How long it rests still; 0 where it does not. */
  backoffLeftMs(server: BackendServer): Milliseconds;
}

/** Engines hold memory for no longer at once. */
const MAX_RESERVATION_MS: Milliseconds = 10_000;

/** Memory at engines that name a limit is held by fewer orders, and free again soon where its host dies. */
const LIMITED_RESERVATION_MS: Milliseconds = 3500;

function extendOverBackoff(reservationMs: Milliseconds, backoffMs: Milliseconds): Milliseconds {
  return Math.max(
    reservationMs,
    Math.min(MAX_RESERVATION_MS, Math.round(reservationMs + backoffMs)),
  );
}

/** An engine that rests, or names a limit that is used up, is asked nothing; it answered a moment ago, and nothing more is known of it. */
const UNQUERIED_STATUS: EngineStatus = { running: 0, memoryTokens: 0 };

/**
 * Engines' memory that passes on what engines tell of themselves: one that has started again answers as well as
 * before, while all that was held and ran there is gone. Engines that rest are sent no more than their gate allows.
 */
export class GatedEngineMemory implements EngineMemory {
  constructor(
    readonly memory: EngineMemory,
    readonly observer: EngineObserver,
    readonly gate: EngineGate,
  ) {}

  async reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
  ): Promise<ReserveResult> {
    if (!this.gate.tryReservationCommand(server)) return { isHeld: false };
    // What a request uses there is held over the rest by one order.
    const backoffMs = this.gate.backoffLeftMs(server);
    const requestedMs = this.gate.isLimited(server)
      ? Math.max(holdMs, LIMITED_RESERVATION_MS)
      : holdMs;
    const reservedForMs = extendOverBackoff(requestedMs, backoffMs);
    const answer = await this.memory.reserve(server, id, tokens, reservedForMs);
    this.#notifyObserver(server, answer);
    return { ...answer, heldForMs: reservedForMs };
  }

  async release(server: BackendServer, id: string): Promise<ReleaseResult> {
    if (!this.gate.tryReservationCommand(server)) return { isAnswered: false };
    const answer = await this.memory.release(server, id);
    this.#notifyObserver(server, answer);
    return answer;
  }

  async readStatus(server: BackendServer): Promise<EngineStatus | undefined> {
    if (!(await this.gate.tryStatusQuery(server))) return UNQUERIED_STATUS;
    const work = await this.memory.readStatus(server);
    if (work) this.#notifyObserver(server, work);
    return work;
  }

  #notifyObserver(server: BackendServer, told: Pick<ReserveResult, 'startedAtMs' | 'word'>): void {
    if (told.startedAtMs !== undefined) this.observer.onStartTime(server, told.startedAtMs);
    if (told.word) this.observer.onNotice(server, told.word);
  }
}
