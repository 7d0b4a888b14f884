import type { Milliseconds, Clock } from '@poppypond/core';
import type { QuarantineHold } from '@poppypond/fleet';
import { partKeyOf } from './part-quarantine.js';
import type { NoticedEnd, PartQuarantine } from './part-quarantine.js';
import type { SharedQuarantine } from './shared-quarantine.js';

/** Dependencies of `FollowedPrompt`. */
export interface FollowedPromptParts {
  readonly clock: Clock;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
}

/** Tracks the ends of servers during the attempts of one request, for the parts of its prompt. */
export class FollowedPrompt {
  readonly #keys: readonly string[];
  /** When each attempt started, by attempt id; removed once its server has ended. */
  readonly #startedAtMs = new Map<string, Milliseconds>();
  /** Quarantined parts that this request may run as a trial. */
  #trialParts: readonly string[] = [];

  constructor(
    readonly parts: FollowedPromptParts,
    service: string,
    sharedParts: readonly string[],
  ) {
    this.#keys = sharedParts.map((part) => partKeyOf(service, part));
  }

  /** Returns the longest hold that keeps the request from running now; undefined if none does. */
  checkHold(): QuarantineHold | undefined {
    const { quarantine } = this.parts;
    const holds = this.#quarantinedKeys()
      .filter((part) => !this.#trialParts.includes(part) && quarantine.isHeld(part))
      .flatMap((part): QuarantineHold[] => {
        const entry = quarantine.find(part);
        return entry ? [{ entry, forMs: quarantine.quarantinedForMs(entry) }] : [];
      });
    return holds.sort((one, other) => other.forMs - one.forMs)[0];
  }

  /** Takes the trials of quarantined parts that are due; to be called if no hold applies. */
  takeTrials(): void {
    const { quarantine } = this.parts;
    const due = this.#quarantinedKeys().filter((part) => !this.#trialParts.includes(part));
    for (const part of due) quarantine.judge(part);
    this.#trialParts = [...this.#trialParts, ...due];
  }

  /** Records the start of an attempt. */
  begin(attempt: string): void {
    this.#startedAtMs.set(attempt, this.parts.clock.monotonicMs());
  }

  /**
   * Records that a server ended during an attempt of the request with this content id; counts once
   * per attempt.
   */
  onTerminated(attempt: string, end: NoticedEnd, content: string): void {
    const startedAtMs = this.#startedAtMs.get(attempt);
    if (startedAtMs === undefined) return;
    this.#startedAtMs.delete(attempt);
    const { partQuarantine } = this.parts;
    for (const part of this.#trialParts) partQuarantine.onTrialTerminated(part, end.server.id);
    this.#trialParts = [];
    partQuarantine.onTerminated(end, this.#keys, startedAtMs, content);
  }

  /** Records that the request was served. */
  onServed(): void {
    this.parts.partQuarantine.onServed(this.#keys);
  }

  #quarantinedKeys(): readonly string[] {
    return this.#keys.filter((part) => this.parts.partQuarantine.find(part) !== undefined);
  }
}
