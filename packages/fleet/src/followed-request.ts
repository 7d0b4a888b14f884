import type { Milliseconds } from '@poppypond/core';
import { ContentId } from './content-id.js';
import type { RequestContent } from './content-id.js';
import { NO_TERMINATIONS } from './quarantine-entry.js';
import type { QuarantineEntry, TerminationHistory, QuarantineVerdict } from './quarantine-entry.js';

/** The quarantine as seen by one host, which supplies its own clock and name. */
export interface QuarantineRegistry {
  /** Whether there may be an entry for a request with this content id prefix. */
  mayContain(prefix: () => string): boolean;
  find(content: string): QuarantineEntry | undefined;
  historyOf(content: string): TerminationHistory;
  /** Decides whether a request may run now. */
  judge(content: string): QuarantineVerdict;
  /** Returns the remaining time for which this host holds a quarantined request. */
  quarantinedForMs(entry: QuarantineEntry): Milliseconds;
  /**
   * Records a termination during a run that began with the history `began`; returns the updated
   * entry.
   */
  onTermination(content: string, began: TerminationHistory, server: string): QuarantineEntry;
  onServed(content: string): void;
}

/** The quarantine entry that keeps a request from running. */
export interface QuarantineHold {
  readonly entry: QuarantineEntry;
  /** Remaining hold time. */
  readonly forMs: Milliseconds;
}

/** Tracks the terminations of servers during the attempts of one request. */
export class FollowedRequest {
  readonly #id: ContentId;
  /**
   * History known when each attempt began, by attempt id; removed once its server is known to have
   * terminated.
   */
  readonly #historyAtStart = new Map<string, TerminationHistory>();
  /** History after the last termination during an attempt of this request. */
  #ownHistory: TerminationHistory = NO_TERMINATIONS;
  #isTrial = false;

  constructor(
    readonly known: QuarantineRegistry,
    content: RequestContent,
  ) {
    this.#id = new ContentId(content);
  }

  /** Content id of the request; the body is hashed at the first access. */
  get content(): string {
    return this.#id.full;
  }

  /** Number of known terminations. */
  get ends(): number {
    return this.known.historyOf(this.content).ends;
  }

  /**
   * Returns the hold that keeps the request from running now; undefined if it may run, also as a
   * trial.
   */
  checkHold(): QuarantineHold | undefined {
    if (this.#isTrial || !this.#mayBeRegistered()) return undefined;
    const verdict = this.known.judge(this.content);
    this.#isTrial = verdict === 'trial';
    const entry = verdict === 'held' ? this.known.find(this.content) : undefined;
    return entry && { entry, forMs: this.known.quarantinedForMs(entry) };
  }

  /** Records the start of an attempt. */
  begin(attempt: string): void {
    this.#historyAtStart.set(
      attempt,
      this.#mayBeRegistered() ? this.known.historyOf(this.content) : NO_TERMINATIONS,
    );
  }

  /**
   * Records that a server terminated during an attempt; counts once per attempt, on top of the
   * earlier attempts.
   */
  onTerminated(attempt: string, server: string): void {
    const began = this.#historyAtStart.get(attempt);
    if (!began) return;
    this.#historyAtStart.delete(attempt);
    this.#isTrial = false;
    const { round } = began;
    const ends =
      this.#ownHistory.round === round ? Math.max(began.ends, this.#ownHistory.ends) : began.ends;
    this.#ownHistory = this.known.onTermination(this.content, { round, ends }, server);
  }

  /** Records that the request was served. */
  onServed(): void {
    if (this.#mayBeRegistered()) this.known.onServed(this.content);
  }

  #mayBeRegistered(): boolean {
    return this.known.mayContain(() => this.#id.prefix);
  }
}
