import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface Backoff {
  readonly server: BackendServer;
  readonly untilMs: Milliseconds;
  /** Requests that may be without an answer at once, after the rest. */
  readonly most: number;
  /** Requests sent after the rest that have no answer yet. */
  readonly unanswered: ReadonlySet<string>;
  /** Orders that may be sent still while it rests. */
  readonly commandsLeft: number;
}

/** What came of a word that a server wants rest. */
export interface StartedBackoff {
  /** Until when it is sent nothing, on this process's clock. */
  readonly untilMs: Milliseconds;
  /** False where it had asked for as much before. */
  readonly isNew: boolean;
}

/**
 * A server that asks for longer is sent one request after this: a number in another unit, or the fault of a clock, must
 * not cost a server for a day.
 */
export const MAX_BACKOFF_MS: Milliseconds = 600_000;
/** A word that prolongs a rest by less is no news: many answers that say the same come over some milliseconds. */
export const BACKOFF_CHANGE_MS: Milliseconds = 500;
/** Hosts that were asked for the same rest come back within this share of it, and not all at its end. */
const JITTER_SHARE = 0.1;
const MAX_JITTER_MS: Milliseconds = 500;
/** After a rest one request is sent, and twice as many with each that is answered, up to no bound. */
const INITIAL_CONCURRENCY = 1;
const CONCURRENCY_GROWTH = 2;
const UNLIMITED_CONCURRENCY = 32;
/** A server that was not needed for so long after its rest is taken as any other. */
const RECOVERY_RETENTION_MS: Milliseconds = 60_000;
/** Sent to a server that rests: one order to hold on to memory that a request uses there, and one to free it. */
const COMMANDS_DURING_BACKOFF = 2;

/**
 * Servers that asked this host for rest, by a 503 with the time for which they want nothing more from it. It binds
 * this host alone. After a rest it returns by steps: a server that is sent at once all that a host has turns it away
 * again.
 */
export class ServerBackoffs {
  readonly #backoffs = new Map<string, Backoff>();

  /** `draw`: uniform random numbers in [0, 1). */
  constructor(readonly random: () => number) {}

  get size(): number {
    return this.#backoffs.size;
  }

  /** The server wants nothing for `forMs` from now. Of several words the one that lasts longest holds. */
  begin(server: BackendServer, forMs: Milliseconds, nowMs: Milliseconds): StartedBackoff {
    this.#dropExpired(nowMs);
    const known = this.#find(server);
    const spreadMs = Math.min(forMs * JITTER_SHARE, MAX_JITTER_MS) * this.random();
    const wantedMs = nowMs + Math.min(forMs, MAX_BACKOFF_MS) + spreadMs;
    const untilMs = Math.max(wantedMs, known?.untilMs ?? 0);
    const isResting = known !== undefined && known.untilMs > nowMs;
    const unanswered = known?.unanswered ?? new Set();
    const ordersLeft = isResting ? known.commandsLeft : COMMANDS_DURING_BACKOFF;
    this.#backoffs.set(server.id, {
      server,
      untilMs,
      most: INITIAL_CONCURRENCY,
      unanswered,
      commandsLeft: ordersLeft,
    });
    return { untilMs, isNew: !isResting || untilMs - known.untilMs > BACKOFF_CHANGE_MS };
  }

  /** How long the server rests still; 0 where it does not. */
  leftMs(server: BackendServer, nowMs: Milliseconds): Milliseconds {
    return Math.max(0, (this.#find(server)?.untilMs ?? 0) - nowMs);
  }

  /** Whether one more request may be sent: it does not rest, nor is it returned to by steps that are taken. */
  canSend(server: BackendServer, nowMs: Milliseconds): boolean {
    const rest = this.#find(server);
    return rest === undefined || (rest.untilMs <= nowMs && rest.unanswered.size < rest.most);
  }

  /** Whether it rests, or is returned to by steps and has not answered well enough yet. */
  isRecovering(server: BackendServer): boolean {
    return this.#find(server) !== undefined;
  }

  /** A request is sent now; to be asked of `mayTake` before. */
  onSent(server: BackendServer, attemptId: string, nowMs: Milliseconds): void {
    const rest = this.#find(server);
    if (!rest || rest.untilMs > nowMs) return;
    this.#backoffs.set(server.id, {
      ...rest,
      unanswered: new Set([...rest.unanswered, attemptId]),
    });
  }

  /** Whether an order may be sent now; counts it where the server rests. */
  tryReservationCommand(server: BackendServer, nowMs: Milliseconds): boolean {
    const rest = this.#find(server);
    if (!rest || rest.untilMs <= nowMs) return true;
    if (rest.commandsLeft === 0) return false;
    this.#backoffs.set(server.id, { ...rest, commandsLeft: rest.commandsLeft - 1 });
    return true;
  }

  /** The request has an answer, which a new rest may follow. */
  onAnswered(server: BackendServer, attemptId: string): void {
    const rest = this.#withoutRequest(server, attemptId);
    if (!rest) return;
    const most = rest.most * CONCURRENCY_GROWTH;
    if (most >= UNLIMITED_CONCURRENCY) this.#backoffs.delete(server.id);
    else this.#backoffs.set(server.id, { ...rest, most });
  }

  /** The request is over, with an answer or without one. */
  onAttemptEnd(server: BackendServer, attemptId: string): void {
    const rest = this.#withoutRequest(server, attemptId);
    if (rest) this.#backoffs.set(server.id, rest);
  }

  #dropExpired(nowMs: Milliseconds): void {
    for (const [id, { untilMs }] of this.#backoffs) {
      if (nowMs - untilMs > RECOVERY_RETENTION_MS) this.#backoffs.delete(id);
    }
  }

  #withoutRequest(server: BackendServer, attemptId: string): Backoff | undefined {
    const rest = this.#find(server);
    if (!rest?.unanswered.has(attemptId)) return undefined;
    const unanswered = new Set(rest.unanswered);
    unanswered.delete(attemptId);
    return { ...rest, unanswered };
  }

  #find(server: BackendServer): Backoff | undefined {
    const rest = this.#backoffs.get(server.id);
    return rest && isSameIncarnation(rest.server, server) ? rest : undefined;
  }
}
