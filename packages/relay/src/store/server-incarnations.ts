import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';

/**
 * A start time earlier than the known one is either a late heartbeat of the previous incarnation,
 * or a restart after the clock was set back. A server writes about every 1.2 s, and its entry
 * expires after three missed writes, so within this time a later incarnation that still runs has
 * overwritten a late heartbeat.
 */
const EARLIER_START_ACCEPTED_MS: Milliseconds = 3600;

/** Decides which of two incarnations of a server under one id is the current one. */
export class ServerIncarnations {
  /** Start times of incarnations that have certainly ended, by server. */
  readonly #endedStartTimes = new Map<string, Set<Milliseconds>>();
  /** Since when the list has contained an earlier start time than the known one, by server. */
  readonly #earlierSince = new Map<string, Milliseconds>();

  /** Whether the current incarnation may change by the passing of time alone. */
  get hasPendingChange(): boolean {
    return this.#earlierSince.size > 0;
  }

  /**
   * Returns the current incarnation of a server. `known`: the current one so far, undefined if none
   * is known; `listed`: the one that the list contains now.
   */
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
   * Returns the current incarnation after a server reported the start time `startedAtMs`; undefined
   * if that is no change. `queried` is its entry when it was queried. The start time of `queried`
   * was known by then, so even an earlier start time belongs to a later incarnation.
   */
  applyReportedStart(
    known: BackendServer,
    queried: BackendServer,
    startedAtMs: Milliseconds,
  ): BackendServer | undefined {
    if (queried.startedAtMs === undefined || queried.startedAtMs === startedAtMs) return undefined;
    if (!isSameIncarnation(known, queried)) return undefined;
    this.#earlierSince.delete(known.id);
    this.#endedStartTimes.get(known.id)?.delete(startedAtMs);
    this.#markEnded(known.id, queried.startedAtMs);
    return { ...known, startedAtMs };
  }

  /** Forgets a server that is no longer listed. */
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
