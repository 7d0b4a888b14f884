import type { Milliseconds } from '@poppypond/core';
import { ServerBackoffs, ServerLimits } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { ServerList } from '@poppypond/relay/planning';
import type { EngineNotice } from './deployment.js';
import type { VirtualClock } from './virtual-clock.js';

/** Backoff that an engine asks for when it rejects an attempt. */
const BACKOFF_MS: Milliseconds = 3000;
/** Rate limit that an engine reports, in requests per second from all hosts together. */
export const LIMIT_PER_SECOND = 2;

/**
 * The notices that engines report in a scenario, and the state that the host keeps because of them.
 */
export class EngineNotices {
  readonly #backoffs: ServerBackoffs;
  readonly #servers = new Map<string, BackendServer>();
  /** Rate limits that engines have reported. */
  readonly limits = new ServerLimits();
  /** Arrivals of attempts at engines that had a rate limit at that time. */
  readonly limitedArrivals: { readonly id: string; readonly atMs: Milliseconds }[] = [];

  constructor(
    readonly clock: VirtualClock,
    readonly list: ServerList,
    listed: readonly BackendServer[],
    readonly notices: readonly EngineNotice[],
    random: () => number,
  ) {
    this.#backoffs = new ServerBackoffs(random);
    for (const server of listed) this.#servers.set(server.id, server);
  }

  /**
   * Records that an attempt reaches an engine. Returns true if the engine rejects it and asks for
   * backoff.
   */
  rejectsAttempt(id: string, attemptId: string): boolean {
    const server = this.#servers.get(id);
    if (!server) return false;
    const nowMs = this.clock.monotonicMs();
    this.#backoffs.onSent(server, attemptId, nowMs);
    if (this.#hasNotice(id, 'limits')) this.limitedArrivals.push({ id, atMs: nowMs });
    if (!this.#hasNotice(id, 'rests')) return false;
    this.#backoffs.begin(server, BACKOFF_MS, nowMs);
    this.#backoffs.onAttemptEnd(server, attemptId);
    return true;
  }

  /** Applies the notices in the response of an engine that answers an attempt with events. */
  onEvents(id: string, attemptId: string): void {
    const server = this.#servers.get(id);
    if (!server) return;
    this.#backoffs.onAnswered(server, attemptId);
    const nowMs = this.clock.monotonicMs();
    if (this.#hasNotice(id, 'leaves')) this.list.onLeaving(server, nowMs);
    const isLimited = this.#hasNotice(id, 'limits');
    const named = { kind: 'named', perSecond: LIMIT_PER_SECOND } as const;
    this.limits.applyNotice(server, isLimited ? named : { kind: 'none' }, nowMs, nowMs);
  }

  /**
   * Returns the engines that may be sent no attempt now because of a backoff or the ramp-up after
   * it.
   */
  excludedIds(): readonly string[] {
    const nowMs = this.clock.monotonicMs();
    const resting = [...this.#servers.values()].filter(
      (server) => !this.#backoffs.canSend(server, nowMs),
    );
    return resting.map(({ id }) => id);
  }

  #hasNotice(id: string, what: EngineNotice['kind']): boolean {
    const nowMs = this.clock.monotonicMs();
    return this.notices.some(({ engineId, fromMs, toMs, kind }) => {
      return engineId === id && kind === what && nowMs >= fromMs && nowMs < toMs;
    });
  }
}
