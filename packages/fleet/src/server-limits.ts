import type { Milliseconds } from '@poppypond/core';
import { isSameIncarnation } from './backend-server.js';
import type { BackendServer } from './backend-server.js';

/** What an answer says of the requests a second that its server takes from all hosts together. */
export type LimitNotice =
  | { readonly kind: 'named'; readonly perSecond: number }
  | { readonly kind: 'none' }
  | { readonly kind: 'unreadable'; readonly text: string };

/** What one life of a server said of a limit last. */
export interface ServerLimit {
  readonly server: BackendServer;
  /** Requests a second from all hosts together; the last that it named where the limit is over. */
  readonly perSecond: number;
  readonly isLifted: boolean;
  /** When it said so last, or first that the limit is over, on this process's clock. */
  readonly reportedAtMs: Milliseconds;
  /** Since when this process knows it as it is. */
  readonly changedAtMs: Milliseconds;
}

/** A limit as another host knows it. */
export type PeerLimit = Omit<ServerLimit, 'changedAtMs'>;

/** What came of a word: undefined where it tells nothing new. */
export type LimitChange = 'named' | 'changed' | 'over' | undefined;

/** A limit of 0, or of less than this, is taken for this: without a request now and then nobody hears that it is over. */
const MIN_PER_SECOND = 0.05;
/** After a limit the rate begins at this at least, and doubles until it is no limit any more. */
const RAMP_UP_START_PER_SECOND = 1;
const RAMP_UP_DOUBLING_MS: Milliseconds = 300;
const RAMP_UP_MS: Milliseconds = 3000;
/** A limit that is over is told for so long to hosts that may have missed the word. */
const LIFTED_RETENTION_MS: Milliseconds = 30_000;
/** A word that no answer has renewed for so long is of a server that is gone, or that nobody needs. */
const REPORTED_RETENTION_MS: Milliseconds = 600_000;

/**
 * Limits that servers name for all hosts together. They bind whoever sends, whoever heard them: what one host sees of
 * what a server gets says nothing of the sum. Of two words of one life the newer holds.
 */
export class ServerLimits {
  readonly #limits = new Map<string, ServerLimit>();

  /** Servers that name a limit, or did lately. */
  get size(): number {
    return this.#limits.size;
  }

  /**
   * Takes in what an answer says, to a request of this host or another. `askedAtMs`: when that was sent; an answer
   * without the word may be older than one with it that came before.
   */
  applyNotice(
    server: BackendServer,
    word: LimitNotice,
    askedAtMs: Milliseconds,
    saidAtMs: Milliseconds,
  ): LimitChange {
    const known = this.find(server);
    if (word.kind === 'named') return this.#record(server, word.perSecond, saidAtMs, saidAtMs);
    if (word.kind === 'unreadable' || !known || known.isLifted) return undefined;
    return askedAtMs > known.reportedAtMs ? this.#lift(known, saidAtMs, saidAtMs) : undefined;
  }

  /** Takes in what another host knows. */
  mergePeerLimit(told: PeerLimit, nowMs: Milliseconds): LimitChange {
    const { server, perSecond, isLifted: isOver, reportedAtMs: saidAtMs } = told;
    const known = this.find(server);
    if (!isOver) return this.#record(server, perSecond, saidAtMs, nowMs);
    if (!known || known.isLifted || known.reportedAtMs >= saidAtMs) return undefined;
    return this.#lift(known, saidAtMs, nowMs);
  }

  /** What this life of a server said last; undefined where it has named no limit. */
  find(server: BackendServer): ServerLimit | undefined {
    const known = this.#limits.get(server.id);
    return known && isSameIncarnation(known.server, server) ? known : undefined;
  }

  /** What the last life of a server that named one said last. */
  findById(serverId: string): ServerLimit | undefined {
    return this.#limits.get(serverId);
  }

  /** The requests a second that a server may be sent by all hosts; undefined where there is no limit. */
  rateOf(server: BackendServer, nowMs: Milliseconds): number | undefined {
    const known = this.find(server);
    if (!known) return undefined;
    if (!known.isLifted) return Math.max(MIN_PER_SECOND, known.perSecond);
    const sinceMs = nowMs - known.reportedAtMs;
    if (sinceMs >= RAMP_UP_MS) return undefined;
    return (
      Math.max(RAMP_UP_START_PER_SECOND, known.perSecond) * 2 ** (sinceMs / RAMP_UP_DOUBLING_MS)
    );
  }

  /** Whether a server may be sent no more than a rate now. */
  isLimited(server: BackendServer, nowMs: Milliseconds): boolean {
    return this.rateOf(server, nowMs) !== undefined;
  }

  /** All that is known, those that are over included; what is over for long is forgotten. */
  all(nowMs: Milliseconds): readonly ServerLimit[] {
    for (const [id, { isLifted: isOver, reportedAtMs: saidAtMs }] of this.#limits) {
      const knownForMs = isOver ? LIFTED_RETENTION_MS : REPORTED_RETENTION_MS;
      if (nowMs - saidAtMs > knownForMs) this.#limits.delete(id);
    }
    return [...this.#limits.values()];
  }

  /** Forgets a server that has started again or is gone. */
  forget(serverId: string): void {
    this.#limits.delete(serverId);
  }

  #record(
    server: BackendServer,
    perSecond: number,
    saidAtMs: Milliseconds,
    nowMs: Milliseconds,
  ): LimitChange {
    const known = this.find(server);
    if (known && known.reportedAtMs > saidAtMs) return undefined;
    const isSame = known !== undefined && !known.isLifted && known.perSecond === perSecond;
    const changedAtMs = isSame ? known.changedAtMs : nowMs;
    this.#limits.set(server.id, {
      server,
      perSecond,
      isLifted: false,
      reportedAtMs: saidAtMs,
      changedAtMs,
    });
    if (isSame) return undefined;
    return known && !known.isLifted ? 'changed' : 'named';
  }

  #lift(known: ServerLimit, saidAtMs: Milliseconds, nowMs: Milliseconds): LimitChange {
    this.#limits.set(known.server.id, {
      ...known,
      isLifted: true,
      reportedAtMs: saidAtMs,
      changedAtMs: nowMs,
    });
    return 'over';
  }
}
