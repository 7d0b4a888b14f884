import type { Milliseconds } from '@poppypond/core';

interface Suspicion {
  readonly untilMs: Milliseconds;
  readonly forMs: Milliseconds;
  /** When the last failure or restart was recorded. */
  readonly atMs: Milliseconds;
  /** Whether the last record was a restart. */
  readonly isRestart: boolean;
  /** Whether a served request does not end it. */
  readonly isFirm: boolean;
  /** Requests served since `forMs` last changed. */
  readonly served: number;
}

/** How a failure is recorded. */
export interface SuspicionOptions {
  /** Whether a served request does not end the suspicion; false if undefined. */
  readonly isFirm?: boolean;
  /** Upper bound of the time; `MAX_SUSPICION_MS` if undefined. */
  readonly maxMs?: Milliseconds;
}

/** Time for which a server is avoided after its first failure. */
const INITIAL_SUSPICION_MS: Milliseconds = 1500;
/** Each relapse doubles the time, up to this bound: faults of a few seconds tend to recur. */
const MAX_SUSPICION_MS: Milliseconds = 12_000;
/** A failure counts as a relapse if the last suspicion ended less than this ago. */
const RELAPSE_WINDOW_MS: Milliseconds = 4000;
/**
 * The same with a longer history. Longer than the longest suspicion, so that a server that fails
 * again after each return is not treated as one that fails for the first time.
 */
const LONG_RELAPSE_WINDOW_MS: Milliseconds = 30_000;
/** Served requests that halve the time of the next suspicion. */
const SERVED_PER_HALVING = 20;
/**
 * A restart that becomes known within this time after a failure is its cause or its consequence:
 * entries of the server list are up to 2.4 s old, and a start takes some time.
 */
const SAME_EVENT_MS: Milliseconds = 4000;
/**
 * Failures within this time are one event: connections that are reset together, and reports of other
 * hosts about them, with requests served in between.
 */
const SAME_FAILURE_MS: Milliseconds = 1000;
/** More servers than any deployment has; the one that was recorded first is dropped beyond it. */
const MAX_SERVERS = 2048;
/**
 * Maximum share of a service's servers that is avoided; with more, the rest could not carry the
 * load of all.
 */
const MAX_AVOIDED_SHARE = 0.4;

/** Servers that failed recently, and for how long each is avoided. */
export class Suspicions {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #relapseWindowMs: Milliseconds;

  /**
   * `keepsHistory`: whether failures count for longer, over restarts and reports of other hosts, and
   * are only gradually outweighed by served requests.
   */
  constructor(readonly keepsHistory = false) {
    this.#relapseWindowMs = keepsHistory ? LONG_RELAPSE_WINDOW_MS : RELAPSE_WINDOW_MS;
  }

  /** Number of servers that are avoided or whose last failure still counts. */
  get size(): number {
    return this.#suspicions.size;
  }

  /**
   * Records a failure of a server; returns for how long it is avoided from now. `isFirm`: whether a
   * served request does not end the suspicion. `maxMs`: upper bound of the time.
   */
  add(
    serverId: string,
    nowMs: Milliseconds,
    { isFirm = false, maxMs = MAX_SUSPICION_MS }: SuspicionOptions = {},
  ): Milliseconds {
    const last = this.#suspicions.get(serverId);
    if (last && nowMs < last.untilMs) {
      if (isFirm) this.#put(serverId, { ...last, isFirm });
      return last.untilMs - nowMs;
    }
    if (last && this.#isSameFailure(last, nowMs)) {
      const untilMs = last.atMs + last.forMs;
      this.#put(serverId, { ...last, untilMs, isFirm: isFirm || last.isFirm });
      return untilMs - nowMs;
    }
    const forMs = this.#counts(last, nowMs)
      ? Math.min(maxMs, last.forMs * 2)
      : INITIAL_SUSPICION_MS;
    const untilMs = nowMs + forMs;
    this.#put(serverId, { untilMs, forMs, atMs: nowMs, isRestart: false, isFirm, served: 0 });
    return forMs;
  }

  /**
   * Avoids a server for `forMs`, as another host reports; a longer suspicion of this host is kept.
   */
  avoid(
    serverId: string,
    forMs: Milliseconds,
    nowMs: Milliseconds,
    options?: SuspicionOptions,
  ): void {
    if (this.keepsHistory) this.add(serverId, nowMs, options);
    const last = this.#suspicions.get(serverId);
    const reportedMs = this.keepsHistory ? Math.min(forMs, MAX_SUSPICION_MS) : forMs;
    const untilMs = Math.max(nowMs + reportedMs, last?.untilMs ?? 0);
    const longestMs = Math.max(reportedMs, last?.forMs ?? 0);
    const known = last ?? { atMs: nowMs, isRestart: false, isFirm: false, served: 0 };
    this.#put(serverId, { ...known, untilMs, forMs: longestMs });
  }

  /**
   * Records that a server served a request: it is no longer avoided, but a failure soon after
   * counts as a relapse. With a history, a server that has failed again is avoided nevertheless: it
   * may serve requests between two failures.
   */
  clear(serverId: string, nowMs: Milliseconds): void {
    const last = this.#suspicions.get(serverId);
    if (!last) return;
    const isEnded = !last.isFirm && (!this.keepsHistory || last.forMs <= INITIAL_SUSPICION_MS);
    const untilMs = isEnded ? Math.min(nowMs, last.untilMs) : last.untilMs;
    if (untilMs < last.untilMs) this.#suspicions.set(serverId, { ...last, untilMs });
    if (this.keepsHistory) this.#decay(serverId, nowMs);
  }

  /** Removes the failure history of a server. */
  forget(serverId: string): void {
    this.#suspicions.delete(serverId);
  }

  /**
   * Records that a server has started again. A first failure no longer counts against it; a server
   * that starts again and again is avoided like one that fails.
   */
  onRestarted(serverId: string, nowMs: Milliseconds, options?: SuspicionOptions): void {
    const last = this.#suspicions.get(serverId);
    if (!last || !this.#counts(last, nowMs)) {
      const forMs = INITIAL_SUSPICION_MS / 2;
      const times = { untilMs: nowMs, forMs, atMs: nowMs };
      this.#put(serverId, { ...times, isRestart: true, isFirm: false, served: 0 });
      return;
    }
    if (last.isRestart || nowMs - last.atMs > SAME_EVENT_MS) this.add(serverId, nowMs, options);
    const known = this.#suspicions.get(serverId) ?? last;
    const isEnded = known === last && last.forMs <= INITIAL_SUSPICION_MS;
    const untilMs = isEnded ? Math.min(nowMs, last.untilMs) : known.untilMs;
    this.#put(serverId, { ...known, untilMs, isRestart: true });
  }

  /** Returns the remaining time for which a server is avoided; 0 if it is not. */
  leftMs(serverId: string, nowMs: Milliseconds): Milliseconds {
    const suspicion = this.#suspicions.get(serverId);
    return suspicion ? Math.max(0, suspicion.untilMs - nowMs) : 0;
  }

  /** The servers that are avoided at `nowMs`, and for how long. */
  all(
    nowMs: Milliseconds,
  ): readonly { readonly serverId: string; readonly leftMs: Milliseconds }[] {
    return [...this.#suspicions]
      .filter(([, { untilMs }]) => untilMs > nowMs)
      .map(([serverId, { untilMs }]) => ({ serverId, leftMs: untilMs - nowMs }));
  }

  /** Removes suspicions that are too old for a failure to count as a relapse. */
  expire(nowMs: Milliseconds): void {
    for (const [id, { untilMs }] of this.#suspicions) {
      if (nowMs - untilMs >= this.#relapseWindowMs) this.#suspicions.delete(id);
    }
  }

  /** Whether a failure now is a relapse after `last`. */
  #counts(last: Suspicion | undefined, nowMs: Milliseconds): last is Suspicion {
    return last !== undefined && nowMs - last.untilMs < this.#relapseWindowMs;
  }

  #isSameFailure({ atMs, forMs, isRestart }: Suspicion, nowMs: Milliseconds): boolean {
    const withinMs = Math.min(SAME_FAILURE_MS, forMs);
    return this.keepsHistory && !isRestart && nowMs - atMs < withinMs;
  }

  #decay(serverId: string, nowMs: Milliseconds): void {
    const last = this.#suspicions.get(serverId);
    if (!last) return;
    const served = last.served + 1;
    if (served < SERVED_PER_HALVING) {
      this.#suspicions.set(serverId, { ...last, served });
      return;
    }
    const forMs = last.forMs / 2;
    const isForgotten = forMs < INITIAL_SUSPICION_MS && last.untilMs <= nowMs;
    if (isForgotten) this.#suspicions.delete(serverId);
    else this.#suspicions.set(serverId, { ...last, forMs, served: 0 });
  }

  #put(serverId: string, suspicion: Suspicion): void {
    this.#suspicions.set(serverId, suspicion);
    if (this.#suspicions.size <= MAX_SERVERS) return;
    const [first] = this.#suspicions.keys();
    if (first !== undefined) this.#suspicions.delete(first);
  }
}

/** An item, such as an engine or a server, that may be avoided. */
export interface Avoidable {
  /** Remaining time for which it is avoided; 0 if it is not. */
  readonly avoidedMs: Milliseconds;
}

/**
 * Returns the candidates without the avoided ones, as `withoutAvoided` does. Of those that remain
 * none counts as avoided, as the others could not carry the load of all.
 */
export function trustedCandidates<Item extends Avoidable>(items: readonly Item[]): readonly Item[] {
  return withoutAvoided(items).map((item) => ({ ...item, avoidedMs: 0 }));
}

/**
 * Returns the items without the avoided ones. If there are too many of those, only the ones that
 * are avoided longest are left out: at most `MAX_AVOIDED_SHARE` of all items, but at least one if
 * there are several.
 */
export function withoutAvoided<Item extends Avoidable>(items: readonly Item[]): readonly Item[] {
  const most = items.length > 1 ? Math.max(1, Math.floor(items.length * MAX_AVOIDED_SHARE)) : 0;
  const avoided = items.filter((item) => item.avoidedMs > 0);
  if (avoided.length === 0) return items;
  const left = new Set(
    [...avoided].sort((one, other) => other.avoidedMs - one.avoidedMs).slice(0, most),
  );
  return items.filter((item) => !left.has(item));
}
