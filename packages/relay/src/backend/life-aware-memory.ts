import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { EngineMemory, EngineWork, ReserveAnswer } from '../ports.js';

/** Takes in the birth that a server has told in its answer. */
export type BirthListener = (asked: BackendServer, bornMs: Milliseconds) => void;

/**
 * Engines' memory that passes on which life of an engine answered: an engine that has started again
 * answers as well as before, while all that was held and ran there is gone.
 */
export class LifeAwareMemory implements EngineMemory {
  constructor(
    readonly memory: EngineMemory,
    readonly onBirthTold: BirthListener,
  ) {}

  async reserve(
    server: BackendServer,
    id: string,
    tokens: number,
    holdMs: Milliseconds,
  ): Promise<ReserveAnswer> {
    const answer = await this.memory.reserve(server, id, tokens, holdMs);
    this.#tell(server, answer.bornMs);
    return answer;
  }

  release(server: BackendServer, id: string): Promise<boolean> {
    return this.memory.release(server, id);
  }

  async readWork(server: BackendServer): Promise<EngineWork | undefined> {
    const work = await this.memory.readWork(server);
    this.#tell(server, work?.bornMs);
    return work;
  }

  #tell(server: BackendServer, bornMs: Milliseconds | undefined): void {
    if (bornMs !== undefined) this.onBirthTold(server, bornMs);
  }
}
