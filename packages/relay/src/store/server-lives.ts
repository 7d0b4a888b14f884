import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';

/**
 * An earlier birth than the known one is either a heartbeat of the life before that came late, or a
 * start after the clock was set back. A server writes about every 1.2 s, and its entry goes after
 * three writes that did not come, so a later life that lives has overwritten a late heartbeat by
 * then.
 */
const EARLIER_BIRTH_BELIEVED_MS: Milliseconds = 3600;

/** Which of two lives of a server under one id is the present one. */
export class ServerLives {
  /** Births of lives that are over for certain, by server. */
  readonly #endedBirths = new Map<string, Set<Milliseconds>>();
  /** Since when the list has told an earlier birth than the known one, by server. */
  readonly #earlierSince = new Map<string, Milliseconds>();

  /** Whether the word that counts may change by time alone. */
  get isWaiting(): boolean {
    return this.#earlierSince.size > 0;
  }

  /** What to go by where `known` is believed and the list tells `listed`. */
  choose(
    known: BackendServer | undefined,
    listed: BackendServer,
    nowMs: Milliseconds,
  ): BackendServer {
    if (known === undefined) return listed;
    const knownBirth = known.startedAtMs;
    const listedBirth = listed.startedAtMs;
    if (knownBirth === undefined || listedBirth === undefined || knownBirth === listedBirth) {
      this.#earlierSince.delete(listed.id);
      return listed;
    }
    if (this.#isEnded(listed.id, listedBirth)) return known;
    if (listedBirth < knownBirth) return this.#chooseEarlier(known, listed, nowMs);
    this.#earlierSince.delete(listed.id);
    this.#end(known.id, knownBirth);
    return listed;
  }

  /**
   * What to go by where the server that was asked as `asked` has said itself that it was born at
   * `bornMs`; undefined where that is nothing new. The question was put after the birth of `asked`
   * was known, so even an earlier birth is that of a later life.
   */
  hear(
    known: BackendServer,
    asked: BackendServer,
    bornMs: Milliseconds,
  ): BackendServer | undefined {
    if (asked.startedAtMs === undefined || asked.startedAtMs === bornMs) return undefined;
    if (!isSameIncarnation(known, asked)) return undefined;
    this.#earlierSince.delete(known.id);
    this.#endedBirths.get(known.id)?.delete(bornMs);
    this.#end(known.id, asked.startedAtMs);
    return { ...known, startedAtMs: bornMs };
  }

  /** Forgets a server that is listed no more. */
  forget(id: string): void {
    this.#endedBirths.delete(id);
    this.#earlierSince.delete(id);
  }

  #chooseEarlier(known: BackendServer, listed: BackendServer, nowMs: Milliseconds): BackendServer {
    const sinceMs = this.#earlierSince.get(listed.id) ?? nowMs;
    this.#earlierSince.set(listed.id, sinceMs);
    if (nowMs - sinceMs < EARLIER_BIRTH_BELIEVED_MS) return known;
    this.#earlierSince.delete(listed.id);
    return listed;
  }

  #isEnded(id: string, bornMs: Milliseconds): boolean {
    return this.#endedBirths.get(id)?.has(bornMs) ?? false;
  }

  #end(id: string, bornMs: Milliseconds): void {
    const births = this.#endedBirths.get(id) ?? new Set();
    births.add(bornMs);
    this.#endedBirths.set(id, births);
  }
}
