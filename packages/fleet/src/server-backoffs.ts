import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

interface Backoff {
  readonly server: BackendServer;
  readonly untilMs: Milliseconds;
  /** Limit of unanswered requests after the backoff. */
  readonly most: number;
  /** Ids of the attempts sent after the backoff that are not answered yet. */
  readonly unanswered: ReadonlySet<string>;
  /** Number of reservation commands that may still be sent during the backoff. */
  readonly commandsLeft: number;
}

/** The effect of a server's request for a backoff. */
export interface StartedBackoff {
  /** End of the backoff, on this process's monotonic clock. */
  readonly untilMs: Milliseconds;
  /** False if the server is already backed off for about as long. */
  readonly isNew: boolean;
}

/**
 * Upper bound of a backoff, after which the server is sent one request: a value in a wrong unit or
 * a clock fault must not take a server out of service for a day.
 */
export const MAX_BACKOFF_MS: Milliseconds = 600_000;
/**
 * A backoff counts as new only if it extends the current one by more than this: many responses with
 * the same delay arrive over some milliseconds.
 */
export const BACKOFF_CHANGE_MS: Milliseconds = 500;
/**
 * Random jitter, as a share of the backoff, so that hosts with the same backoff don't all return at
 * its end.
 */
const JITTER_SHARE = 0.1;
const MAX_JITTER_MS: Milliseconds = 500;
/**
 * After a backoff one request is sent; the limit doubles with each answer, and is dropped once it
 * reaches the last value.
 */
const INITIAL_CONCURRENCY = 1;
const CONCURRENCY_GROWTH = 2;
const UNLIMITED_CONCURRENCY = 32;
/** A server that has been unused for this long after its backoff is treated like any other. */
const RECOVERY_RETENTION_MS: Milliseconds = 60_000;
/**
 * Commands allowed during a backoff: one to renew the memory reservation of a running request, and
 * one to release it.
 */
const COMMANDS_DURING_BACKOFF = 2;

/**
 * Servers that asked this host to back off, by a 503 response with the time for which they want no
 * more requests from it. A backoff applies to this host only. It is followed by a ramp-up, because
 * a server that gets the full load of a host at once rejects it again.
 */
export class ServerBackoffs {
  readonly #backoffs = new Map<string, Backoff>();

  /** `random` returns uniform numbers in [0, 1). */
  constructor(readonly random: () => number) {}

  get size(): number {
    return this.#backoffs.size;
  }

  /**
   * Starts or extends a backoff of `forMs` from now; of several requests the one that ends last
   * applies.
   */
  begin(server: BackendServer, forMs: Milliseconds, nowMs: Milliseconds): StartedBackoff {
    this.#dropExpired(nowMs);
    const known = this.#find(server);
    const jitterMs = Math.min(forMs * JITTER_SHARE, MAX_JITTER_MS) * this.random();
    const endsAtMs = nowMs + Math.min(forMs, MAX_BACKOFF_MS) + jitterMs;
    const untilMs = Math.max(endsAtMs, known?.untilMs ?? 0);
    const isBackedOff = known !== undefined && known.untilMs > nowMs;
    const unanswered = known?.unanswered ?? new Set();
    const commandsLeft = isBackedOff ? known.commandsLeft : COMMANDS_DURING_BACKOFF;
    this.#backoffs.set(server.id, {
      server,
      untilMs,
      most: INITIAL_CONCURRENCY,
      unanswered,
      commandsLeft,
    });
    return { untilMs, isNew: !isBackedOff || untilMs - known.untilMs > BACKOFF_CHANGE_MS };
  }

  /** Returns the remaining time of the backoff; 0 if there is none. */
  leftMs(server: BackendServer, nowMs: Milliseconds): Milliseconds {
    return Math.max(0, (this.#find(server)?.untilMs ?? 0) - nowMs);
  }

  /**
   * Whether one more request may be sent: the server is not backed off, and its ramp-up limit is
   * not used up.
   */
  canSend(server: BackendServer, nowMs: Milliseconds): boolean {
    const backoff = this.#find(server);
    return (
      backoff === undefined || (backoff.untilMs <= nowMs && backoff.unanswered.size < backoff.most)
    );
  }

  /** Whether the server is backed off, or is still ramping up after it. */
  isRecovering(server: BackendServer): boolean {
    return this.#find(server) !== undefined;
  }

  /** Records that a request is sent now; the caller checks `canSend` first. */
  onSent(server: BackendServer, attemptId: string, nowMs: Milliseconds): void {
    const backoff = this.#find(server);
    if (!backoff || backoff.untilMs > nowMs) return;
    this.#backoffs.set(server.id, {
      ...backoff,
      unanswered: new Set([...backoff.unanswered, attemptId]),
    });
  }

  /** Whether a reservation command may be sent now; counts it if the server is backed off. */
  tryReservationCommand(server: BackendServer, nowMs: Milliseconds): boolean {
    const backoff = this.#find(server);
    if (!backoff || backoff.untilMs <= nowMs) return true;
    if (backoff.commandsLeft === 0) return false;
    this.#backoffs.set(server.id, { ...backoff, commandsLeft: backoff.commandsLeft - 1 });
    return true;
  }

  /**
   * Records that a request was answered, which raises the ramp-up limit. A new backoff may follow.
   */
  onAnswered(server: BackendServer, attemptId: string): void {
    const backoff = this.#withoutRequest(server, attemptId);
    if (!backoff) return;
    const most = backoff.most * CONCURRENCY_GROWTH;
    if (most >= UNLIMITED_CONCURRENCY) this.#backoffs.delete(server.id);
    else this.#backoffs.set(server.id, { ...backoff, most });
  }

  /** Records that a request has ended, with or without an answer. */
  onAttemptEnd(server: BackendServer, attemptId: string): void {
    const backoff = this.#withoutRequest(server, attemptId);
    if (backoff) this.#backoffs.set(server.id, backoff);
  }

  #dropExpired(nowMs: Milliseconds): void {
    for (const [id, { untilMs }] of this.#backoffs) {
      if (nowMs - untilMs > RECOVERY_RETENTION_MS) this.#backoffs.delete(id);
    }
  }

  #withoutRequest(server: BackendServer, attemptId: string): Backoff | undefined {
    const backoff = this.#find(server);
    if (!backoff?.unanswered.has(attemptId)) return undefined;
    const unanswered = new Set(backoff.unanswered);
    unanswered.delete(attemptId);
    return { ...backoff, unanswered };
  }

  #find(server: BackendServer): Backoff | undefined {
    const backoff = this.#backoffs.get(server.id);
    return backoff && isSameIncarnation(backoff.server, server) ? backoff : undefined;
  }
}
