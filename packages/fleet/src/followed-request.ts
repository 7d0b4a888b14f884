import type { Milliseconds } from '@poppypond/core';
import { ContentId } from './content-id.js';
import type { RequestContent } from './content-id.js';
import { NO_TERMINATIONS } from './quarantine.js';
import type { QuarantineEntry, TerminationHistory, QuarantineVerdict } from './quarantine.js';

/** What a host knows of requests under which servers ended, by its own clock and under its own name. */
export interface QuarantineRegistry {
  /** Whether a request whose name begins with `hint` may be known. */
  mayContain(hint: () => string): boolean;
  find(content: string): QuarantineEntry | undefined;
  historyOf(content: string): TerminationHistory;
  /** Whether a request may run now. */
  judge(content: string): QuarantineVerdict;
  /** How long this host holds a request still that it holds. */
  quarantinedForMs(entry: QuarantineEntry): Milliseconds;
  /** A server ended under a run that began when `began` was known; what is known now. */
  onTermination(content: string, began: TerminationHistory, server: string): QuarantineEntry;
  onServed(content: string): void;
}

/** What keeps a request from being run. */
export interface QuarantineHold {
  readonly entry: QuarantineEntry;
  /** For how long still. */
  readonly forMs: Milliseconds;
}

/** One request, and what is known of servers that ended under it, over its attempts. */
export class FollowedRequest {
  readonly #id: ContentId;
  /** What was known as each attempt began, by its id; removed once its server is known to have ended. */
  readonly #historyAtStart = new Map<string, TerminationHistory>();
  /** What was known after the last end under an attempt of this request. */
  #ownHistory: TerminationHistory = NO_TERMINATIONS;
  #isTrial = false;

  constructor(
    readonly known: QuarantineRegistry,
    content: RequestContent,
  ) {
    this.#id = new ContentId(content);
  }

  /** Names the request; its body is hashed when this is first asked for. */
  get content(): string {
    return this.#id.full;
  }

  /** Ends under it that are known. */
  get ends(): number {
    return this.known.historyOf(this.content).ends;
  }

  /** What keeps it from being run now; undefined where nothing does. */
  checkHold(): QuarantineHold | undefined {
    if (this.#isTrial || !this.#mayBeRegistered()) return undefined;
    const verdict = this.known.judge(this.content);
    this.#isTrial = verdict === 'trial';
    const entry = verdict === 'held' ? this.known.find(this.content) : undefined;
    return entry && { entry, forMs: this.known.quarantinedForMs(entry) };
  }

  /** An attempt begins. */
  begin(attempt: string): void {
    this.#historyAtStart.set(
      attempt,
      this.#mayBeRegistered() ? this.known.historyOf(this.content) : NO_TERMINATIONS,
    );
  }

  /** A server ended under an attempt; counts once for each, after those of the attempts before it. */
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

  /** It was served. */
  onServed(): void {
    if (this.#mayBeRegistered()) this.known.onServed(this.content);
  }

  #mayBeRegistered(): boolean {
    return this.known.mayContain(() => this.#id.prefix);
  }
}
