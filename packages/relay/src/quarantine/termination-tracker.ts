import { FollowedRequest } from '@poppypond/fleet';
import type { QuarantineHold, RequestContent } from '@poppypond/fleet';
import { FollowedPrompt } from './followed-prompt.js';
import type { FollowedPromptParts } from './followed-prompt.js';
import type { NoticedEnd } from './part-quarantine.js';

/** What the quarantine needs to know about a request. */
export interface TrackedRequest {
  readonly service: string;
  readonly content: RequestContent;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
}

/**
 * Tracks the ends of servers during the attempts of one request, for the request itself and for the
 * parts of its prompt.
 */
export class TerminationTracker {
  readonly #request: FollowedRequest;
  readonly #prompt: FollowedPrompt;

  constructor(parts: FollowedPromptParts, { service, content, sharedParts }: TrackedRequest) {
    this.#request = new FollowedRequest(parts.quarantine, content);
    this.#prompt = new FollowedPrompt(parts, service, sharedParts);
  }

  /** Content id of the request; the body is hashed at the first access. */
  get content(): string {
    return this.#request.content;
  }

  /** Number of known terminations of the request. */
  get ends(): number {
    return this.#request.ends;
  }

  /**
   * Returns the hold that keeps the request from running now; undefined if it may run, also as a
   * trial.
   */
  checkHold(): QuarantineHold | undefined {
    const held = this.#prompt.checkHold() ?? this.#request.checkHold();
    if (!held) this.#prompt.takeTrials();
    return held;
  }

  /** Records the start of an attempt. */
  begin(attempt: string): void {
    this.#request.begin(attempt);
    this.#prompt.begin(attempt);
  }

  /** Records that a server ended during an attempt. */
  onTerminated(attempt: string, end: NoticedEnd): void {
    this.#request.onTerminated(attempt, end.server.id);
    this.#prompt.onTerminated(attempt, end, this.content);
  }

  /** Records that the request was served. */
  onServed(): void {
    this.#request.onServed();
    this.#prompt.onServed();
  }
}
