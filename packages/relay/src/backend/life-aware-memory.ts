import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type {
  EngineMemory,
  EngineWork,
  ReleaseAnswer,
  ReserveAnswer,
  ServerWord,
} from '../ports.js';

/** Takes in what an engine tells of itself in answers to orders and in reports. */
export interface EngineWords {
  /** The birth of the life that answered. */
  onBirthTold(asked: BackendServer, bornMs: Milliseconds): void;
  /** Whether it leaves or wants rest. */
  onWord(asked: BackendServer, word: ServerWord): void;
}

/**
 * Engines' memory that passes on what engines tell of themselves: one that has started again answers as well as
 * before, while all that was held and ran there is gone.
 */
export class LifeAwareMemory implements EngineMemory {
  constructor(
    readonly memory: EngineMemory,
    readonly words: EngineWords,
  ) {}

  async reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
  ): Promise<ReserveAnswer> {
    const answer = await this.memory.reserve(server, id, tokens, holdMs);
    this.#tell(server, answer);
    return answer;
  }

  async release(server: BackendServer, id: string): Promise<ReleaseAnswer> {
    const answer = await this.memory.release(server, id);
    this.#tell(server, answer);
    return answer;
  }

  async readWork(server: BackendServer): Promise<EngineWork | undefined> {
    const work = await this.memory.readWork(server);
    if (work) this.#tell(server, work);
    return work;
  }

  #tell(server: BackendServer, told: Pick<ReserveAnswer, 'bornMs' | 'word'>): void {
    if (told.bornMs !== undefined) this.words.onBirthTold(server, told.bornMs);
    if (told.word) this.words.onWord(server, told.word);
  }
}
