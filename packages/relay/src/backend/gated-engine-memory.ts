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
export interface EngineWords {
  /** The birth of the life that answered. */
  onStartTime(asked: BackendServer, bornMs: Milliseconds): void;
  /** Whether it leaves or wants rest. */
  onNotice(asked: BackendServer, word: ServerNotice): void;
}

/** Whether an engine may be sent an order or a question now, by what it said itself. */
export interface OrderGate {
  tryOrder(server: BackendServer): boolean;
  tryQuestion(server: BackendServer): Promise<boolean>;
  /** Whether it names a limit of what it is sent. */
  isLimited(server: BackendServer): boolean;
  /** How long it rests still; 0 where it does not. */
  restLeftMs(server: BackendServer): Milliseconds;
}

/** Engines hold memory for no longer at once. */
const LONGEST_HOLD_MS: Milliseconds = 10_000;

/** Memory at engines that name a limit is held by fewer orders, and free again soon where its host dies. */
const LIMITED_HOLD_MS: Milliseconds = 3500;

function overRestMs(holdMs: Milliseconds, restMs: Milliseconds): Milliseconds {
  return Math.max(holdMs, Math.min(LONGEST_HOLD_MS, Math.round(holdMs + restMs)));
}

/** An engine that rests, or names a limit that is used up, is asked nothing; it answered a moment ago, and nothing more is known of it. */
const NOT_ASKED: EngineStatus = { running: 0, memoryTokens: 0 };

/**
 * Engines' memory that passes on what engines tell of themselves: one that has started again answers as well as
 * before, while all that was held and ran there is gone. Engines that rest are sent no more than their gate allows.
 */
export class GatedEngineMemory implements EngineMemory {
  constructor(
    readonly memory: EngineMemory,
    readonly words: EngineWords,
    readonly gate: OrderGate,
  ) {}

  async reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
  ): Promise<ReserveResult> {
    if (!this.gate.tryOrder(server)) return { isHeld: false };
    // What a request uses there is held over the rest by one order.
    const restMs = this.gate.restLeftMs(server);
    const wantedMs = this.gate.isLimited(server) ? Math.max(holdMs, LIMITED_HOLD_MS) : holdMs;
    const heldForMs = overRestMs(wantedMs, restMs);
    const answer = await this.memory.reserve(server, id, tokens, heldForMs);
    this.#tell(server, answer);
    return { ...answer, heldForMs };
  }

  async release(server: BackendServer, id: string): Promise<ReleaseResult> {
    if (!this.gate.tryOrder(server)) return { isAnswered: false };
    const answer = await this.memory.release(server, id);
    this.#tell(server, answer);
    return answer;
  }

  async readStatus(server: BackendServer): Promise<EngineStatus | undefined> {
    if (!(await this.gate.tryQuestion(server))) return NOT_ASKED;
    const work = await this.memory.readStatus(server);
    if (work) this.#tell(server, work);
    return work;
  }

  #tell(server: BackendServer, told: Pick<ReserveResult, 'startedAtMs' | 'word'>): void {
    if (told.startedAtMs !== undefined) this.words.onStartTime(server, told.startedAtMs);
    if (told.word) this.words.onNotice(server, told.word);
  }
}
