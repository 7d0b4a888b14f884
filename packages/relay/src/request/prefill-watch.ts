import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';

/**
 * Period of the status queries to the engines that prefill a long prompt. An engine that depends on
 * a dead one stalls for 1.5 s before it reports that, which is more than a third of the latency
 * target of the longest prompts. A period of 400 ms sends 1,550 queries more in a day of long
 * prompts, each on a connection of its own, which costs 0.003 of the value that the answers of such
 * a day earn.
 */
const QUERY_PERIOD_MS: Milliseconds = 800;
/**
 * An engine counts as dead after this number of unanswered queries in a row, sent one right after
 * the other.
 */
const MAX_UNANSWERED_QUERIES = 2;

/** Dependencies of `PrefillWatch`. */
export interface PrefillWatchParts {
  readonly clock: Clock;
  /** Whether a server answers a status query. */
  readonly isResponsive: (server: BackendServer) => Promise<boolean>;
  /**
   * Called when an engine that prefills a part of the prompt is dead. Returns whether the attempt
   * ends; otherwise the engines are queried further.
   */
  readonly onUnresponsive: (server: BackendServer) => boolean;
}

/**
 * Sends status queries to the engines that prefill one long prompt, until its first event.
 */
export class PrefillWatch {
  /**
   * Replaced for each monitored attempt, so that late answers for an earlier attempt are ignored.
   */
  #monitored: readonly BackendServer[] = [];
  #cancel: CancelTimer = () => undefined;

  constructor(readonly parts: PrefillWatchParts) {}

  /**
   * Starts monitoring an attempt that begins now, in place of any other. A prefill shorter than the
   * period is never queried.
   */
  begin(engines: readonly BackendServer[]): void {
    this.end();
    this.#monitored = engines;
    this.#cancel = this.parts.clock.every(QUERY_PERIOD_MS, () => {
      for (const engine of engines) void this.#query(engine, engines);
    });
  }

  /** Stops monitoring; does nothing if nothing is monitored. */
  end(): void {
    this.#cancel();
    this.#monitored = [];
  }

  async #query(engine: BackendServer, monitored: readonly BackendServer[]): Promise<void> {
    for (let unanswered = 0; unanswered < MAX_UNANSWERED_QUERIES; unanswered += 1) {
      if (await this.parts.isResponsive(engine)) return;
      if (this.#monitored !== monitored) return;
    }
    if (this.parts.onUnresponsive(engine)) this.end();
  }
}
