import type { Milliseconds } from '@poppypond/core';
import type { ServerLimit, ServerLimits, PeerLimit } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import { BatchedBroadcast } from './batched-broadcast.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireLimit, toWireLimit } from './limit-wire-format.js';
import type { Peer } from './peer-list.js';
import type { Heartbeat, LimitsMessage } from './peer-messages.js';
import type { WireLimit } from './plan-messages.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `LimitExchange`. */
export interface LimitExchangeParts extends ExchangeParts {
  readonly notices: ServerNotices;
  readonly limits: ServerLimits;
}

/**
 * Maximum number of recently changed limits in a heartbeat, and of limits sent in rotation. Each
 * takes 90 bytes; there are none while no server reports one.
 */
const MAX_PER_HEARTBEAT = 4;
/** A change reaches all hosts within this time, unless messages are lost. */
const RECENT_CHANGE_MS: Milliseconds = 2000;

/**
 * Broadcasts the rate limits that servers report, once per change: a limit applies to all hosts
 * together, and planners select servers for the hosts that received the report. Heartbeats to and
 * from the coordinators make up for lost messages, and inform hosts that have just started.
 */
export class LimitExchange {
  readonly #broadcast: ZoneBroadcast<readonly ServerLimit[]>;
  readonly #batch: BatchedBroadcast<ServerLimit>;
  #rotation = 0;

  constructor(readonly parts: LimitExchangeParts) {
    const { clock, limits, notices, peers } = parts;
    this.#broadcast = new ZoneBroadcast(peers, (to, told, passOn) => {
      this.#send(to, told, passOn);
    });
    const find = (serverId: string) => limits.findById(serverId);
    this.#batch = new BatchedBroadcast({ clock, broadcast: this.#broadcast, find });
    notices.onLimit((limit) => {
      this.#batch.publish([limit.server.id]);
    });
  }

  /**
   * Limits for one heartbeat: those that changed recently, and some of all limits in rotation, of
   * which a host that is not a coordinator sends only one.
   */
  forHeartbeat(): WireLimit[] {
    const all = this.#all();
    if (all.length === 0) return [];
    const most = this.parts.peers.isCoordinator() ? MAX_PER_HEARTBEAT : 1;
    const from = this.#rotation % all.length;
    this.#rotation += most;
    const rotated = [...all.slice(from), ...all.slice(0, from)].slice(0, most);
    return this.#toWire([...new Set([...this.#recentlyChanged(all), ...rotated])]);
  }

  /**
   * Recently changed limits of a service's servers, for a request to a planner that may not know
   * them.
   */
  forPlanRequest(service: string): WireLimit[] {
    const ofService = this.#all().filter(({ server }) => server.service === service);
    return this.#toWire(this.#recentlyChanged(ofService));
  }

  /** Applies the limits in a heartbeat; a coordinator broadcasts those that are new to it. */
  onHeartbeat({ limits, host }: Heartbeat): void {
    this.#broadcastAsCoordinator(this.recordFromPeer(limits, host));
  }

  /**
   * Applies a message with limits. Forwards new ones if it asks for that; otherwise a coordinator
   * broadcasts them.
   */
  onMessage({ limits, host, passOn }: LimitsMessage): void {
    const news = this.recordFromPeer(limits, host);
    if (passOn && news.length > 0) this.#forward(news);
    else this.#broadcastAsCoordinator(news);
  }

  /** Applies the limits that `host` knows. Returns those that were new here. */
  recordFromPeer(wire: readonly WireLimit[], host: string): readonly PeerLimit[] {
    const nowMs = this.parts.clock.monotonicMs();
    return wire
      .map((limit) => fromWireLimit(limit, nowMs))
      .filter((limit) => this.parts.notices.recordPeerLimit(limit, host));
  }

  #forward(news: readonly PeerLimit[]): void {
    this.#broadcast.passOn(
      news.flatMap(({ server }) => this.parts.limits.findById(server.id) ?? []),
    );
  }

  #all(): readonly ServerLimit[] {
    const { clock, limits } = this.parts;
    return limits.size === 0 ? [] : limits.all(clock.monotonicMs());
  }

  #recentlyChanged(limits: readonly ServerLimit[]): readonly ServerLimit[] {
    const sinceMs = this.parts.clock.monotonicMs() - RECENT_CHANGE_MS;
    return limits.filter(({ changedAtMs }) => changedAtMs > sinceMs).slice(-MAX_PER_HEARTBEAT);
  }

  #broadcastAsCoordinator(news: readonly PeerLimit[]): void {
    if (news.length === 0 || !this.parts.peers.isCoordinator()) return;
    this.#batch.publish(news.map(({ server }) => server.id));
  }

  #toWire(limits: readonly ServerLimit[]): WireLimit[] {
    const nowMs = this.parts.clock.monotonicMs();
    return limits.map((limit) => toWireLimit(limit, nowMs));
  }

  #send(peers: readonly Peer[], limits: readonly ServerLimit[], passOn: boolean): void {
    if (peers.length === 0 || limits.length === 0) return;
    const { send, senderFields } = this.parts;
    send(peers, { kind: 'limits', ...senderFields(), limits: this.#toWire(limits), passOn });
  }
}
