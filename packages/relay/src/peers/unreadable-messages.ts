import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import { explainUnreadable } from './peer-messages.js';

/** Limit of the pairs of address and kind that are remembered as logged. */
const MAX_LOGGED = 1000;

/** Counts the datagrams that are not valid peer messages, and logs each kind once per peer. */
export class UnreadableMessages {
  readonly #logged = new Set<string>();

  constructor(
    readonly log: Log,
    readonly metrics: PrometheusMetrics,
  ) {}

  /** Records an unreadable datagram from `address`. */
  record(datagram: Buffer, address: string): void {
    const { reason, kind } = explainUnreadable(datagram);
    this.metrics.count('poppypond_peer_unreadable_total', { reason });
    const name = `${address} ${kind} ${reason}`;
    if (this.#logged.has(name) || this.#logged.size >= MAX_LOGGED) return;
    this.#logged.add(name);
    this.log.warn('peer_message_unreadable', { address, kind, reason, bytes: datagram.length });
  }
}
