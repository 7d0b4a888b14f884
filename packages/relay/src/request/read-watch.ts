import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';

/**
 * Pause between questions to the engines that read a long prompt. An engine that depends on a dead
 * one stands still for 1.5 s before it says so, which is more than a third of the aim of the longest
 * prompts. With 400 ms a day of long prompts had 1,550 questions more, each on a connection of its
 * own, which cost 0.003 of the worth of a day.
 */
const ASK_PERIOD_MS: Milliseconds = 800;
/** An engine counts as dead when it gives no answer so many times, one right after the other. */
const QUESTIONS_BEFORE_DEAD = 2;

/** What the watch needs. */
export interface ReadWatchParts {
  readonly clock: Clock;
  /** Whether a server answers a question for its state. */
  readonly isAlive: (server: BackendServer) => Promise<boolean>;
  /** An engine that reads a part of the prompt is dead; called once at most for one attempt. */
  readonly onDead: (server: BackendServer) => void;
}

/** Asks the engines that read one long prompt together whether they live, until its first event. */
export class ReadWatch {
  /** Changes with each attempt that is watched, so that late answers for another count for nothing. */
  #watched: readonly BackendServer[] = [];
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: ReadWatchParts) {}

  /** Begins with an attempt that starts now, in place of any other. Short reads end unasked. */
  begin(engines: readonly BackendServer[]): void {
    this.end();
    this.#watched = engines;
    this.#cancel = this.parts.clock.every(ASK_PERIOD_MS, () => {
      for (const engine of engines) void this.#ask(engine, engines);
    });
  }

  /** Ends; nothing where nothing is watched. */
  end(): void {
    this.#cancel();
    this.#watched = [];
  }

  async #ask(engine: BackendServer, watched: readonly BackendServer[]): Promise<void> {
    for (let asked = 0; asked < QUESTIONS_BEFORE_DEAD; asked += 1) {
      if (await this.parts.isAlive(engine)) return;
      if (this.#watched !== watched) return;
    }
    this.end();
    this.parts.onDead(engine);
  }
}
