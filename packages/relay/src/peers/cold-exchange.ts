import type { Milliseconds } from '@poppypond/core';
import type { ColdServer } from '@poppypond/fleet';
import type { ColdNotices } from '../notices/cold-notices.js';
import { BatchedBroadcast } from './batched-broadcast.js';
import { fromWireColdServer, toWireColdServer } from './cold-wire-format.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { PeerClocks, ReportSender } from './peer-clocks.js';
import type { Peer } from './peer-list.js';
import type { ColdServersMessage, Heartbeat } from './peer-messages.js';
import type { WireColdServer } from './plan-messages.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `ColdExchange`. */
export interface ColdExchangeParts extends ExchangeParts {
  readonly coldNotices: ColdNotices;
  readonly clocks: PeerClocks;
}

/**
 * Maximum number of cold servers in a heartbeat: recently changed ones, and others in rotation. Each
 * takes 95 bytes; there are none while all servers are warm.
 */
const MAX_PER_HEARTBEAT = 4;
/** A message of 16 takes 1.6 KB; a host that asks for the list gets at most 16 of them. */
const MAX_PER_MESSAGE = 16;
const MAX_SENT_TO_NEW_HOST = 256;
/** A change reaches all hosts within this time, unless messages are lost. */
const RECENT_CHANGE_MS: Milliseconds = 2000;

/**
 * Broadcasts which servers are cold, once per change, as only store readers read the servers'
 * entries. Heartbeats to and from the coordinators make up for lost messages, and inform hosts that
 * have just started; plan requests inform planners.
 */
export class ColdExchange {
  readonly #broadcast: ZoneBroadcast<readonly ColdServer[]>;
  readonly #batch: BatchedBroadcast<ColdServer>;
  #rotation = 0;

  constructor(readonly parts: ColdExchangeParts) {
    const { clock, coldNotices, peers } = parts;
    this.#broadcast = new ZoneBroadcast(peers, (to, told, passOn) => {
      this.#send(to, told, passOn);
    });
    const find = (serverId: string) => coldNotices.parts.cold.findById(serverId);
    this.#batch = new BatchedBroadcast({ clock, broadcast: this.#broadcast, find });
    coldNotices.onCold((serverId) => {
      this.#batch.publish([serverId]);
    });
  }

  /**
   * Cold servers for one heartbeat: those that changed recently, and some of all in rotation, of
   * which a host that is not a coordinator sends only one. Undefined if there are none.
   */
  forHeartbeat(): WireColdServer[] | undefined {
    const all = this.#all();
    if (all.length === 0) return undefined;
    const most = this.parts.peers.isCoordinator() ? MAX_PER_HEARTBEAT : 1;
    const from = this.#rotation % all.length;
    this.#rotation += most;
    const rotated = [...all.slice(from), ...all.slice(0, from)].slice(0, most);
    return this.#toWire([...new Set([...this.#recentlyChanged(all), ...rotated])]);
  }

  /**
   * Sends all cold servers to a peer that has requested the server list: it knows none of them yet,
   * and takes the servers of its first list for warm.
   */
  sendAll(peer: Peer): void {
    const all = this.#all().slice(0, MAX_SENT_TO_NEW_HOST);
    for (let from = 0; from < all.length; from += MAX_PER_MESSAGE)
      this.#send([peer], all.slice(from, from + MAX_PER_MESSAGE), false);
  }

  /**
   * Recently changed cold servers of a service, for a request to a planner that may not know them;
   * undefined if there are none.
   */
  forPlanRequest(service: string): WireColdServer[] | undefined {
    const ofService = this.#all().filter(({ server }) => server.service === service);
    const recent = this.#recentlyChanged(ofService);
    return recent.length === 0 ? undefined : this.#toWire(recent);
  }

  /** Applies the cold servers in a heartbeat; a coordinator broadcasts those that are new to it. */
  onHeartbeat(beat: Heartbeat): void {
    const { cold } = beat;
    if (cold) this.#broadcastAsCoordinator(this.recordFromPeer(cold, beat));
  }

  /**
   * Applies a message with cold servers. Forwards new ones if it asks for that; otherwise a
   * coordinator broadcasts them.
   */
  onMessage(message: ColdServersMessage): void {
    const newIds = this.recordFromPeer(message.servers, message);
    if (message.passOn) this.#forward(newIds);
    else this.#broadcastAsCoordinator(newIds);
  }

  /**
   * Applies the cold servers that a host knew when it sent the message. Returns the ids of those
   * that were new here.
   */
  recordFromPeer(wire: readonly WireColdServer[], sender: ReportSender): readonly string[] {
    const { host } = sender;
    const datedMs = this.parts.clocks.sentAt(sender, this.parts.clock.monotonicMs());
    return wire
      .map((told) => fromWireColdServer(told, datedMs))
      .filter((told) => this.parts.coldNotices.recordPeerReport(told, host))
      .map(({ server }) => server.id);
  }

  #forward(serverIds: readonly string[]): void {
    if (serverIds.length === 0) return;
    const { cold } = this.parts.coldNotices.parts;
    this.#broadcast.passOn(serverIds.flatMap((id) => cold.findById(id) ?? []));
  }

  #broadcastAsCoordinator(serverIds: readonly string[]): void {
    if (serverIds.length === 0 || !this.parts.peers.isCoordinator()) return;
    this.#batch.publish(serverIds);
  }

  #all(): readonly ColdServer[] {
    const { clock, coldNotices } = this.parts;
    const { cold } = coldNotices.parts;
    return cold.size === 0 ? [] : cold.all(clock.monotonicMs());
  }

  #recentlyChanged(servers: readonly ColdServer[]): readonly ColdServer[] {
    const sinceMs = this.parts.clock.monotonicMs() - RECENT_CHANGE_MS;
    return servers.filter(({ changedAtMs }) => changedAtMs > sinceMs).slice(-MAX_PER_HEARTBEAT);
  }

  #toWire(servers: readonly ColdServer[]): WireColdServer[] {
    const nowMs = this.parts.clock.monotonicMs();
    return servers.map((server) => toWireColdServer(server, nowMs));
  }

  #send(peers: readonly Peer[], servers: readonly ColdServer[], passOn: boolean): void {
    if (peers.length === 0 || servers.length === 0) return;
    const { clock, send, senderFields } = this.parts;
    const sentAtMs = clock.monotonicMs();
    const told = { servers: this.#toWire(servers), sentAtMs, passOn };
    send(peers, { kind: 'cold', ...senderFields(), ...told });
  }
}
