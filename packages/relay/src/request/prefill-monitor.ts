import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';

/**
 * Pause between questions to the engines that read a long prompt. An engine that depends on a dead
 * one stands still for 1.5 s before it says so, which is more than a third of the aim of the longest
 * prompts. With 400 ms a day of long prompts had 1,550 questions more, each on a connection of its
 * own, which cost 0.003 of the worth of a day.
 */
const QUERY_PERIOD_MS: Milliseconds = 800;
/** An engine counts as dead when it gives no answer so many times, one right after the other. */
const MAX_UNANSWERED_QUERIES = 2;

/** What the watch needs. */
export interface PrefillMonitorParts {
  readonly clock: Clock;
  /** Whether a server answers a question for its state. */
  readonly isResponsive: (server: BackendServer) => Promise<boolean>;
  /** An engine that reads a part of the prompt is dead; called once at most for one attempt. */
  readonly onUnresponsive: (server: BackendServer) => void;
}

/** Asks the engines that read one long prompt together whether they live, until its first event. */
export class PrefillMonitor {
  /** Changes with each attempt that is watched, so that late answers for another count for nothing. */
  #monitored: readonly BackendServer[] = [];
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: PrefillMonitorParts) {}

  /** Begins with an attempt that starts now, in place of any other. Short reads end unasked. */
  begin(engines: readonly BackendServer[]): void {
    this.end();
    this.#monitored = engines;
    this.#cancel = this.parts.clock.every(QUERY_PERIOD_MS, () => {
      for (const engine of engines) void this.#query(engine, engines);
    });
  }

  /** Ends; nothing where nothing is watched. */
  end(): void {
    this.#cancel();
    this.#monitored = [];
  }

  async #query(engine: BackendServer, monitored: readonly BackendServer[]): Promise<void> {
    for (let unanswered = 0; unanswered < MAX_UNANSWERED_QUERIES; unanswered += 1) {
      if (await this.parts.isResponsive(engine)) return;
      if (this.#monitored !== monitored) return;
    }
    this.end();
    this.parts.onUnresponsive(engine);
  }
}
