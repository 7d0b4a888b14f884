import type { Milliseconds } from '@poppypond/core';
import type { ExchangeParts } from './exchange-parts.js';
import type { Peer, PeerAddress } from './peer-list.js';
import type { Heartbeat } from './peer-messages.js';

/** Dependencies of `WithdrawalExchange`. */
export interface WithdrawalExchangeParts extends ExchangeParts {
  readonly self: PeerAddress & { readonly incarnation: string };
  /** Whether this host is full, so that it had better get no new callers. */
  readonly isFull: () => boolean;
}

/** What a heartbeat says about full hosts; empty unless a host is full. */
export type WithdrawalFields = Pick<Heartbeat, 'isFull' | 'mayWithdraw'>;

/**
 * How long a host may stay withdrawn without another permission. Permissions are renewed with each
 * heartbeat, and two of them may be lost.
 */
const PERMISSION_MS: Milliseconds = 3000;
/** Part of the hosts of a zone that may be withdrawn at once; the others must take their callers. */
const MAX_WITHDRAWN_SHARE = 0.25;

/**
 * Lets full hosts withdraw from the load balancer, at most a quarter of the hosts of a zone at once.
 * The first live host in rank decides, as all others send it heartbeats. If a network partition
 * has two such hosts, each counts the hosts that it hears from, so both together keep the bound.
 */
export class WithdrawalExchange {
  /** Until when the permissions of this host are valid, by host. */
  readonly #permittedUntilMs = new Map<string, Milliseconds>();
  /** Until when this host may be withdrawn. */
  #mayWithdrawUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  /** Since when this host is the first in rank; undefined while it is not. */
  #firstSinceMs: Milliseconds | undefined;

  constructor(readonly parts: WithdrawalExchangeParts) {}

  /** Whether this host is full and may be withdrawn now. */
  get isWithdrawn(): boolean {
    const { clock, isFull, self } = this.parts;
    if (!isFull()) return false;
    if (this.#permit(self)) return true;
    return clock.monotonicMs() < this.#mayWithdrawUntilMs;
  }

  /** Updates since when this host decides; called once per heartbeat period. */
  tick(): void {
    const isFirst = this.parts.peers.place === 0;
    this.#firstSinceMs = isFirst ? (this.#firstSinceMs ?? this.#nowMs) : undefined;
  }

  /** Fields of a heartbeat to `peer`. */
  forHeartbeat(peer: Peer): WithdrawalFields {
    const own = this.parts.isFull() ? { isFull: true } : {};
    return peer.isFull && this.#permit(peer) ? { ...own, mayWithdraw: true } : own;
  }

  onHeartbeat({ echo, mayWithdraw }: Heartbeat): void {
    if (!mayWithdraw || echo?.incarnation !== this.parts.self.incarnation) return;
    // Counted from the heartbeat that is answered, so that it ends before the sender's count.
    const untilMs = echo.sentAtMs + PERMISSION_MS;
    this.#mayWithdrawUntilMs = Math.max(this.#mayWithdrawUntilMs, untilMs);
  }

  get #nowMs(): Milliseconds {
    return this.parts.clock.monotonicMs();
  }

  /**
   * Gives or renews a permission. A host that has just become the first in rank gives none until
   * those of its predecessor have ended.
   */
  #permit({ host, availabilityZone }: PeerAddress): boolean {
    const nowMs = this.#nowMs;
    if (this.#firstSinceMs === undefined || nowMs - this.#firstSinceMs < PERMISSION_MS)
      return false;
    for (const [permitted, untilMs] of this.#permittedUntilMs) {
      if (untilMs <= nowMs) this.#permittedUntilMs.delete(permitted);
    }
    const { peers, self } = this.parts;
    const zone = [self, ...peers.alive()].filter(
      (one) => one.availabilityZone === availabilityZone,
    );
    const permittedCount = [...this.#permittedUntilMs.keys()].filter(
      (permitted) =>
        permitted !== host &&
        (permitted === self.host ? self : peers.find(permitted))?.availabilityZone ===
          availabilityZone,
    ).length;
    if (permittedCount + 1 > zone.length * MAX_WITHDRAWN_SHARE) return false;
    this.#permittedUntilMs.set(host, nowMs + PERMISSION_MS);
    return true;
  }
}
