import type { Milliseconds } from '@poppypond/core';

interface Suspicion {
  readonly untilMs: Milliseconds;
  readonly forMs: Milliseconds;
}

/** A server that failed is avoided for this long at first. */
const INITIAL_SUSPICION_MS: Milliseconds = 1500;
/** Each failure soon after the last doubles that, up to this: faults of a few seconds come in turns. */
const MAX_SUSPICION_MS: Milliseconds = 12_000;
/** A failure counts as soon after the last while the server was tried again for less than this. */
const RELAPSE_WINDOW_MS: Milliseconds = 4000;
/** At most this share of a service is avoided; the rest could not carry the load of all. */
const MAX_AVOIDED_SHARE = 0.4;

/** Servers that failed lately, and for how long each is avoided. */
export class Suspicions {
  readonly #suspicions = new Map<string, Suspicion>();

  /** A server failed; for how long it is avoided from now. */
  add(serverId: string, nowMs: Milliseconds): Milliseconds {
    const last = this.#suspicions.get(serverId);
    if (last && nowMs < last.untilMs) return last.untilMs - nowMs;
    const isRelapse = last !== undefined && nowMs - last.untilMs < RELAPSE_WINDOW_MS;
    const forMs = isRelapse ? Math.min(MAX_SUSPICION_MS, last.forMs * 2) : INITIAL_SUSPICION_MS;
    this.#suspicions.set(serverId, { untilMs: nowMs + forMs, forMs });
    return forMs;
  }

  /** Avoids a server for as long as another host said, or as it is avoided anyway. */
  avoid(serverId: string, forMs: Milliseconds, nowMs: Milliseconds): void {
    const last = this.#suspicions.get(serverId);
    const untilMs = Math.max(nowMs + forMs, last?.untilMs ?? 0);
    this.#suspicions.set(serverId, { untilMs, forMs: Math.max(forMs, last?.forMs ?? 0) });
  }

  /** The server has served; it is avoided no more, but a failure soon after counts as a relapse. */
  clear(serverId: string, nowMs: Milliseconds): void {
    const last = this.#suspicions.get(serverId);
    if (last && nowMs < last.untilMs) this.#suspicions.set(serverId, { ...last, untilMs: nowMs });
  }

  /** What the server did before counts no more. */
  forget(serverId: string): void {
    this.#suspicions.delete(serverId);
  }

  /** How long a server is avoided still; 0 where it is not. */
  leftMs(serverId: string, nowMs: Milliseconds): Milliseconds {
    const suspicion = this.#suspicions.get(serverId);
    return suspicion ? Math.max(0, suspicion.untilMs - nowMs) : 0;
  }

  /** Forgets what lies so far back that it counts for nothing. */
  expire(nowMs: Milliseconds): void {
    for (const [id, { untilMs }] of this.#suspicions) {
      if (nowMs - untilMs >= RELAPSE_WINDOW_MS) this.#suspicions.delete(id);
    }
  }
}

/** Something that may be avoided. */
export interface Avoidable {
  /** How long it is avoided still; 0 where it is not. */
  readonly avoidedMs: Milliseconds;
}

/**
 * Leaves out those that are avoided, those first that are avoided longest: one of a few, and never
 * more than two in five of many.
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
