import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';

/**
 * An earlier birth than the known one is either a heartbeat of the life before that came late, or a
 * start after the clock was set back. A server writes about every 1.2 s, and its entry goes after
 * three writes that did not come, so a later life that lives has overwritten a late heartbeat by
 * then.
 */
const EARLIER_START_ACCEPTED_MS: Milliseconds = 3600;

/** Which of two lives of a server under one id is the present one. */
export class ServerIncarnations {
  /** Births of lives that are over for certain, by server. */
  readonly #endedStartTimes = new Map<string, Set<Milliseconds>>();
  /** Since when the list has told an earlier birth than the known one, by server. */
  readonly #earlierSince = new Map<string, Milliseconds>();

  /** Whether the word that counts may change by time alone. */
  get hasPendingChange(): boolean {
    return this.#earlierSince.size > 0;
  }

  /** What to go by where `known` is believed and the list tells `listed`. */
  choose(
    known: BackendServer | undefined,
    listed: BackendServer,
    nowMs: Milliseconds,
  ): BackendServer {
    if (known === undefined) return listed;
    const knownStartedAtMs = known.startedAtMs;
    const listedStartedAtMs = listed.startedAtMs;
    if (
      knownStartedAtMs === undefined ||
      listedStartedAtMs === undefined ||
      knownStartedAtMs === listedStartedAtMs
    ) {
      this.#earlierSince.delete(listed.id);
      return listed;
    }
    if (this.#isEnded(listed.id, listedStartedAtMs)) return known;
    if (listedStartedAtMs < knownStartedAtMs) return this.#chooseEarlier(known, listed, nowMs);
    this.#earlierSince.delete(listed.id);
    this.#markEnded(known.id, knownStartedAtMs);
    return listed;
  }

  /**
   * What to go by where the server that was asked as `asked` has said itself that it was born at
   * `bornMs`; undefined where that is nothing new. The question was put after the birth of `asked`
   * was known, so even an earlier birth is that of a later life.
   */
  applyReportedStart(
    known: BackendServer,
    asked: BackendServer,
    startedAtMs: Milliseconds,
  ): BackendServer | undefined {
    if (asked.startedAtMs === undefined || asked.startedAtMs === startedAtMs) return undefined;
    if (!isSameIncarnation(known, asked)) return undefined;
    this.#earlierSince.delete(known.id);
    this.#endedStartTimes.get(known.id)?.delete(startedAtMs);
    this.#markEnded(known.id, asked.startedAtMs);
    return { ...known, startedAtMs };
  }

  /** Forgets a server that is listed no more. */
  forget(id: string): void {
    this.#endedStartTimes.delete(id);
    this.#earlierSince.delete(id);
  }

  #chooseEarlier(known: BackendServer, listed: BackendServer, nowMs: Milliseconds): BackendServer {
    const sinceMs = this.#earlierSince.get(listed.id) ?? nowMs;
    this.#earlierSince.set(listed.id, sinceMs);
    if (nowMs - sinceMs < EARLIER_START_ACCEPTED_MS) return known;
    this.#earlierSince.delete(listed.id);
    return listed;
  }

  #isEnded(id: string, startedAtMs: Milliseconds): boolean {
    return this.#endedStartTimes.get(id)?.has(startedAtMs) ?? false;
  }

  #markEnded(id: string, startedAtMs: Milliseconds): void {
    const startTimes = this.#endedStartTimes.get(id) ?? new Set();
    startTimes.add(startedAtMs);
    this.#endedStartTimes.set(id, startTimes);
  }
}
