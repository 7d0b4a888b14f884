import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface Rest {
  readonly server: BackendServer;
  readonly untilMs: Milliseconds;
  /** Requests that may be without an answer at once, after the rest. */
  readonly most: number;
  /** Requests sent after the rest that have no answer yet. */
  readonly unanswered: ReadonlySet<string>;
  /** Orders that may be sent still while it rests. */
  readonly ordersLeft: number;
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
const RETURN_SPREAD_SHARE = 0.1;
const LONGEST_RETURN_SPREAD_MS: Milliseconds = 500;
/** After a rest one request is sent, and twice as many with each that is answered, up to no bound. */
const FIRST_MOST = 1;
const MOST_GROWTH = 2;
const NO_BOUND_FROM = 32;
/** A server that was not needed for so long after its rest is taken as any other. */
const FORGOTTEN_AFTER_MS: Milliseconds = 60_000;
/** Sent to a server that rests: one order to hold on to memory that a request uses there, and one to free it. */
const ORDERS_IN_REST = 2;

/**
 * Servers that asked this host for rest, by a 503 with the time for which they want nothing more from it. It binds
 * this host alone. After a rest it returns by steps: a server that is sent at once all that a host has turns it away
 * again.
 */
export class ServerBackoffs {
  readonly #rests = new Map<string, Rest>();

  /** `draw`: uniform random numbers in [0, 1). */
  constructor(readonly random: () => number) {}

  get size(): number {
    return this.#rests.size;
  }

  /** The server wants nothing for `forMs` from now. Of several words the one that lasts longest holds. */
  begin(server: BackendServer, forMs: Milliseconds, nowMs: Milliseconds): StartedBackoff {
    this.#forgetLongOver(nowMs);
    const known = this.#find(server);
    const spreadMs =
      Math.min(forMs * RETURN_SPREAD_SHARE, LONGEST_RETURN_SPREAD_MS) * this.random();
    const wantedMs = nowMs + Math.min(forMs, MAX_BACKOFF_MS) + spreadMs;
    const untilMs = Math.max(wantedMs, known?.untilMs ?? 0);
    const isResting = known !== undefined && known.untilMs > nowMs;
    const unanswered = known?.unanswered ?? new Set();
    const ordersLeft = isResting ? known.ordersLeft : ORDERS_IN_REST;
    this.#rests.set(server.id, { server, untilMs, most: FIRST_MOST, unanswered, ordersLeft });
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
    this.#rests.set(server.id, { ...rest, unanswered: new Set([...rest.unanswered, attemptId]) });
  }

  /** Whether an order may be sent now; counts it where the server rests. */
  tryReservationCommand(server: BackendServer, nowMs: Milliseconds): boolean {
    const rest = this.#find(server);
    if (!rest || rest.untilMs <= nowMs) return true;
    if (rest.ordersLeft === 0) return false;
    this.#rests.set(server.id, { ...rest, ordersLeft: rest.ordersLeft - 1 });
    return true;
  }

  /** The request has an answer, which a new rest may follow. */
  onAnswered(server: BackendServer, attemptId: string): void {
    const rest = this.#take(server, attemptId);
    if (!rest) return;
    const most = rest.most * MOST_GROWTH;
    if (most >= NO_BOUND_FROM) this.#rests.delete(server.id);
    else this.#rests.set(server.id, { ...rest, most });
  }

  /** The request is over, with an answer or without one. */
  onAttemptEnd(server: BackendServer, attemptId: string): void {
    const rest = this.#take(server, attemptId);
    if (rest) this.#rests.set(server.id, rest);
  }

  #forgetLongOver(nowMs: Milliseconds): void {
    for (const [id, { untilMs }] of this.#rests) {
      if (nowMs - untilMs > FORGOTTEN_AFTER_MS) this.#rests.delete(id);
    }
  }

  #take(server: BackendServer, attemptId: string): Rest | undefined {
    const rest = this.#find(server);
    if (!rest?.unanswered.has(attemptId)) return undefined;
    const unanswered = new Set(rest.unanswered);
    unanswered.delete(attemptId);
    return { ...rest, unanswered };
  }

  #find(server: BackendServer): Rest | undefined {
    const rest = this.#rests.get(server.id);
    return rest && isSameIncarnation(rest.server, server) ? rest : undefined;
  }
}
