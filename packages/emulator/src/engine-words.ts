import type { Milliseconds } from '@poppypond/core';
import { ServerBackoffs, ServerLimits } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { ServerList } from '@poppypond/relay/planning';
import type { EngineNotice } from './deployment.js';
import type { VirtualClock } from './virtual-clock.js';

/** What an engine asks for that turns requests away. */
const BACKOFF_MS: Milliseconds = 3000;
/** The requests a second that an engine takes which names a limit. */
export const LIMIT_PER_SECOND = 2;

/** What engines say of themselves on a day, and what the host makes of it. */
export class EngineNotices {
  readonly #backoffs: ServerBackoffs;
  readonly #servers = new Map<string, BackendServer>();
  /** Limits that engines name. */
  readonly limits = new ServerLimits();
  /** When attempts reached engines that named a limit then. */
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

  /** An attempt reaches an engine; true where that turns it away and asks for rest. */
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

  /** An engine has answered an attempt with events. */
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

  /** Engines that may be sent nothing now. */
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
