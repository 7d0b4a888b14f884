import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type {
  EngineMemory,
  EngineStatus,
  ReleaseResult,
  ReserveResult,
  ServerNotice,
} from '../ports.js';

/**
 * Receives what engines report about themselves in answers to reservation commands and status
 * queries.
 */
export interface EngineObserver {
  /**
   * Reports the start time of the incarnation that answered; `asked` is the incarnation that was
   * queried.
   */
  onStartTime(asked: BackendServer, startedAtMs: Milliseconds): void;
  /** Reports an engine's notice: leaving, backoff or rate limit. */
  onNotice(asked: BackendServer, word: ServerNotice): void;
  /** Reports the pace in an engine's status: the time that it takes, relative to the usual one. */
  onPace(asked: BackendServer, pace: number): void;
}

/**
 * Decides by an engine's own notices whether it may be sent a reservation command or a status query
 * now.
 */
export interface EngineGate {
  /** `isFirst`: whether the command reserves memory for work that has not started. */
  tryReservationCommand(server: BackendServer, isFirst: boolean): boolean;
  tryStatusQuery(server: BackendServer): Promise<boolean>;
  /** Whether the engine reports a rate limit. */
  isLimited(server: BackendServer): boolean;
  /** Remaining backoff of the engine; 0 if there is none. */
  backoffLeftMs(server: BackendServer): Milliseconds;
}

/** Holds back what must not be sent before the evacuated zones are confirmed. */
export interface ZoneConfirmation {
  /** Resolves when it is confirmed which zones are evacuated; at once if it is known. */
  wait(): Promise<void>;
}

/** Longest reservation that engines accept in one command. */
const MAX_RESERVATION_MS: Milliseconds = 10_000;

/**
 * Rate-limited engines get longer reservations and so fewer commands; memory left by a crashed host
 * is still freed soon.
 */
const LIMITED_RESERVATION_MS: Milliseconds = 3500;

function extendOverBackoff(reservationMs: Milliseconds, backoffMs: Milliseconds): Milliseconds {
  return Math.max(
    reservationMs,
    Math.min(MAX_RESERVATION_MS, Math.round(reservationMs + backoffMs)),
  );
}

/**
 * Status of an engine that may not be queried, during a backoff or for want of a permit. It counts
 * as alive, as it answered a moment ago; its load is unknown.
 */
const UNQUERIED_STATUS: EngineStatus = { running: 0, memoryTokens: 0 };

/**
 * Decorates `EngineMemory`. Reports start times and notices from all answers to the observer: a
 * restarted engine answers as before, although its reservations and running requests are lost.
 * Sends an engine only what the gate allows.
 */
export class GatedEngineMemory implements EngineMemory {
  constructor(
    readonly memory: EngineMemory,
    readonly observer: EngineObserver,
    readonly gate: EngineGate,
    readonly zones: ZoneConfirmation,
  ) {}

  async reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
    isRenewal = false,
  ): Promise<ReserveResult> {
    // A running request needs its renewals, also in an evacuated zone.
    if (!isRenewal) await this.zones.wait();
    if (!this.gate.tryReservationCommand(server, !isRenewal)) return { isReserved: false };
    // One command reserves the memory beyond the end of the backoff.
    const backoffMs = this.gate.backoffLeftMs(server);
    const requestedMs = this.gate.isLimited(server)
      ? Math.max(holdMs, LIMITED_RESERVATION_MS)
      : holdMs;
    const reservedForMs = extendOverBackoff(requestedMs, backoffMs);
    const answer = await this.memory.reserve(server, id, tokens, reservedForMs, isRenewal);
    this.#notifyObserver(server, answer);
    return { ...answer, reservedForMs };
  }

  async release(server: BackendServer, id: string): Promise<ReleaseResult> {
    if (!this.gate.tryReservationCommand(server, false)) return { isAnswered: false };
    const answer = await this.memory.release(server, id);
    this.#notifyObserver(server, answer);
    return answer;
  }

  async readStatus(server: BackendServer): Promise<EngineStatus | undefined> {
    await this.zones.wait();
    if (!(await this.gate.tryStatusQuery(server))) return UNQUERIED_STATUS;
    const status = await this.memory.readStatus(server);
    if (status) this.#notifyObserver(server, status);
    if (status?.pace !== undefined) this.observer.onPace(server, status.pace);
    return status;
  }

  #notifyObserver(server: BackendServer, told: Pick<ReserveResult, 'startedAtMs' | 'word'>): void {
    if (told.startedAtMs !== undefined) this.observer.onStartTime(server, told.startedAtMs);
    if (told.word) this.observer.onNotice(server, told.word);
  }
}
