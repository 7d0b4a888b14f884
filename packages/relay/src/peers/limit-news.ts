import type { Milliseconds } from '@poppypond/core';
import type { ServerLimit, ServerLimits, PeerLimit } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import { BatchedSpread } from './batched-spread.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireLimit, toWireLimit } from './limit-on-the-wire.js';
import type { Peer } from './peer-list.js';
import type { Beat, ToldLimits } from './peer-messages.js';
import type { WireLimit } from './plan-messages.js';
import { ZoneSpread } from './zone-spread.js';

/** What the exchange needs. */
export interface LimitNewsParts extends ExchangeParts {
  readonly notices: ServerNotices;
  readonly limits: ServerLimits;
}

/** Limits in a heartbeat, of 90 bytes each; none while no server names one. */
const MOST_IN_BEAT = 4;
/** A change is known to all hosts after this, but for lost messages. */
const CHANGED_LATELY_MS: Milliseconds = 2000;

/**
 * Tells all hosts of the limits that servers name, once for each change: a limit binds all together, and planners choose
 * for hosts that have heard of it. Heartbeats to and from the first hosts mend what is lost, and tell hosts that have
 * just started.
 */
export class LimitNews {
  readonly #spread: ZoneSpread<readonly ServerLimit[]>;
  readonly #batch: BatchedSpread<ServerLimit>;
  #turn = 0;

  constructor(readonly parts: LimitNewsParts) {
    const { clock, limits, notices, peers } = parts;
    this.#spread = new ZoneSpread(peers, (to, told, passOn) => {
      this.#send(to, told, passOn);
    });
    const find = (serverId: string) => limits.findById(serverId);
    this.#batch = new BatchedSpread({ clock, spread: this.#spread, find });
    notices.onLimit((limit) => {
      this.#batch.tell([limit.server.id]);
    });
  }

  /** Limits for one heartbeat: what has changed lately, and some of all by turns; few where this host is not one of the first. */
  forBeat(): WireLimit[] {
    const all = this.#all();
    if (all.length === 0) return [];
    const most = this.parts.peers.isAmongFirst() ? MOST_IN_BEAT : 1;
    const from = this.#turn % all.length;
    this.#turn += most;
    const byTurns = [...all.slice(from), ...all.slice(0, from)].slice(0, most);
    return this.#toWire([...new Set([...this.#changed(all), ...byTurns])]);
  }

  /** Limits of servers of a service that have changed lately, for a question to a planner that may not know of it. */
  forAsk(service: string): WireLimit[] {
    const ofService = this.#all().filter(({ server }) => server.service === service);
    return this.#toWire(this.#changed(ofService));
  }

  /** Takes in what a heartbeat tells; one of the first hosts tells all others what is news to it. */
  onBeat({ limits, host }: Beat): void {
    this.#tellAsFirst(this.hear(limits, host));
  }

  /** Takes in a message of a host. */
  onTold({ limits, host, passOn }: ToldLimits): void {
    const news = this.hear(limits, host);
    if (passOn && news.length > 0) this.#passOn(news);
    else this.#tellAsFirst(news);
  }

  /** Takes in what a host knows; what was news here. */
  hear(wire: readonly WireLimit[], host: string): readonly PeerLimit[] {
    const nowMs = this.parts.clock.monotonicMs();
    return wire
      .map((limit) => fromWireLimit(limit, nowMs))
      .filter((limit) => this.parts.notices.recordPeerLimit(limit, host));
  }

  #passOn(news: readonly PeerLimit[]): void {
    this.#spread.passOn(news.flatMap(({ server }) => this.parts.limits.findById(server.id) ?? []));
  }

  #all(): readonly ServerLimit[] {
    const { clock, limits } = this.parts;
    return limits.size === 0 ? [] : limits.all(clock.monotonicMs());
  }

  #changed(limits: readonly ServerLimit[]): readonly ServerLimit[] {
    const sinceMs = this.parts.clock.monotonicMs() - CHANGED_LATELY_MS;
    return limits.filter(({ changedAtMs }) => changedAtMs > sinceMs).slice(-MOST_IN_BEAT);
  }

  #tellAsFirst(news: readonly PeerLimit[]): void {
    if (news.length === 0 || !this.parts.peers.isAmongFirst()) return;
    this.#batch.tell(news.map(({ server }) => server.id));
  }

  #toWire(limits: readonly ServerLimit[]): WireLimit[] {
    const nowMs = this.parts.clock.monotonicMs();
    return limits.map((limit) => toWireLimit(limit, nowMs));
  }

  #send(peers: readonly Peer[], limits: readonly ServerLimit[], passOn: boolean): void {
    if (peers.length === 0 || limits.length === 0) return;
    const { send, selfFields } = this.parts;
    send(peers, { kind: 'limits', ...selfFields(), limits: this.#toWire(limits), passOn });
  }
}
