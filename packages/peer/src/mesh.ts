import type { Server } from 'node:http';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import { WebSocket, WebSocketServer } from 'ws';
import type { z } from 'zod';
import { readMessage, sendMessage } from './link.js';
import type { LinkTraffic } from './link.js';
import { Membership } from './membership.js';
import type { KnownMember, MembershipTimes } from './membership.js';
import { envelopeSchema, heartbeatSchema, helloSchema } from './messages.js';
import type { Member } from './messages.js';
import type { PeerMessages } from './peer-messages.js';

/** Settings of a `PeerMesh`. */
export interface MeshSettings extends MembershipTimes {
  readonly self: Member;
  /** Peer addresses by which to join the mesh, `ws://ADDRESS:PORT`. */
  readonly seeds: readonly string[];
  /** Number of members to which this host opens links. */
  readonly fanOut: number;
  readonly heartbeatMs: Milliseconds;
}

interface Link {
  readonly socket: WebSocket;
  readonly isDialled: boolean;
  member: Member | undefined;
}

type MessageHandler = (from: Member, body: unknown) => void;

const MAX_BUFFERED_BYTES = 4_000_000;
const MAX_MESSAGE_BYTES = 16_000_000;
const HEARTBEAT_KIND = 'heartbeat';
/**
 * A host that has enough links still dials unknown seeds at every heartbeat whose number is a
 * multiple of this. Otherwise hosts that are linked among themselves and have lost all others would
 * stay partitioned forever.
 */
const SEED_DIAL_PERIOD_HEARTBEATS = 60;
/** Number of members in the gossip of one heartbeat. */
const GOSSIP_PER_HEARTBEAT = 4;

/**
 * Connections between hosts. Each host dials a few members in rendezvous order, so that a small
 * fleet is a full mesh and a large one is not. Messages may be lost or duplicated.
 */
export class PeerMesh implements PeerMessages {
  readonly membership: Membership;
  readonly traffic: LinkTraffic = { bytesIn: 0, bytesOut: 0, messagesIn: 0, messagesOut: 0 };
  readonly #links = new Set<Link>();
  readonly #handlers = new Map<string, MessageHandler>();
  readonly #urlsBeingDialled = new Set<string>();
  readonly #server: WebSocketServer;
  #cancelTimer: CancelTimer | undefined;
  #isStopped = false;
  #heartbeatNumber = 0;
  /** Called when a link to a member has opened and its hello message has arrived. */
  onPeerConnected: (member: Member) => void = () => undefined;

  constructor(
    readonly settings: MeshSettings,
    readonly clock: Clock,
    httpServer: Server,
  ) {
    this.membership = new Membership(settings.self, settings, clock);
    this.#server = new WebSocketServer({ server: httpServer, maxPayload: MAX_MESSAGE_BYTES });
    this.#server.on('connection', (socket) => {
      this.#attach(socket, false);
    });
    this.on(HEARTBEAT_KIND, heartbeatSchema, (from, { beat, news }) => {
      this.membership.recordContact(from, beat);
      for (const entry of news) this.membership.recordGossip(entry);
    });
  }

  start(): void {
    this.#tick();
    this.#cancelTimer = this.clock.every(this.settings.heartbeatMs, () => {
      this.#tick();
    });
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
    for (const { socket } of this.#links) socket.terminate();
    this.#server.close();
  }

  /** Registers the handler for a kind of message; messages with malformed bodies are dropped. */
  on<Schema extends z.ZodType>(
    kind: string,
    schema: Schema,
    handler: (from: Member, body: z.infer<Schema>) => void,
  ): void {
    this.#handlers.set(kind, (from, body) => {
      const parsed = schema.safeParse(body);
      if (parsed.success) handler(from, parsed.data);
    });
  }

  /** Returns the members with an open link. */
  linked(): readonly Member[] {
    const members = new Map<string, Member>();
    for (const { member, socket } of this.#links) {
      if (member && socket.readyState === WebSocket.OPEN) members.set(member.host, member);
    }
    return [...members.values()];
  }

  members(): readonly KnownMember[] {
    return this.membership.list();
  }

  /** Sends to one host. Returns false if there is no open link or its send buffer is full. */
  send(host: string, kind: string, body: unknown): boolean {
    for (const { member, socket } of this.#links) {
      if (member?.host !== host) continue;
      if (sendMessage(socket, { kind, body }, MAX_BUFFERED_BYTES, this.traffic)) return true;
    }
    return false;
  }

  /** Sends to every linked member except `except`. */
  broadcast(kind: string, body: unknown, except?: string): void {
    for (const { host } of this.linked()) if (host !== except) this.send(host, kind, body);
  }

  #tick(): void {
    this.#heartbeatNumber += 1;
    for (const { host } of this.linked()) {
      const news = this.membership.nextGossip(host, GOSSIP_PER_HEARTBEAT);
      this.send(host, HEARTBEAT_KIND, { beat: this.#heartbeatNumber, news });
    }
    const linkedUrls = new Set(this.linked().map((member) => member.peerUrl));
    for (const url of this.#urlsToDial()) {
      if (!linkedUrls.has(url) && !this.#urlsBeingDialled.has(url)) this.#dial(url);
    }
  }

  #urlsToDial(): readonly string[] {
    const members = this.membership.list().map(({ member }) => member);
    const preferredUrls = rendezvousOrder(this.settings.self.host, members, (member) => member.host)
      .slice(0, this.settings.fanOut)
      .map((member) => member.peerUrl);
    const known = new Set(members.map((member) => member.peerUrl));
    const isFull = this.linked().length >= this.settings.fanOut;
    const skipsSeeds = isFull && this.#heartbeatNumber % SEED_DIAL_PERIOD_HEARTBEATS !== 0;
    const seeds = skipsSeeds ? [] : this.settings.seeds.filter((url) => !known.has(url));
    return [...preferredUrls, ...seeds].filter((url) => url !== this.settings.self.peerUrl);
  }

  #dial(url: string): void {
    this.#urlsBeingDialled.add(url);
    const socket = new WebSocket(url, {
      handshakeTimeout: this.settings.suspectAfterMs,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    socket.once('open', () => {
      this.#urlsBeingDialled.delete(url);
    });
    socket.once('close', () => {
      this.#urlsBeingDialled.delete(url);
    });
    this.#attach(socket, true);
  }

  #attach(socket: WebSocket, isDialled: boolean): void {
    const link: Link = { socket, isDialled, member: undefined };
    this.#links.add(link);
    const sendHello = () => {
      const self = { member: this.settings.self, beat: this.#heartbeatNumber };
      const hello = { self, others: this.membership.allGossip() };
      sendMessage(socket, hello, MAX_BUFFERED_BYTES, this.traffic);
    };
    if (isDialled) socket.once('open', sendHello);
    else sendHello();
    socket.on('message', (data) => {
      this.#receive(link, readMessage(data, this.traffic));
    });
    socket.on('error', () => undefined);
    socket.once('close', () => this.#links.delete(link));
  }

  #receive(link: Link, message: unknown): void {
    if (this.#isStopped) return;
    if (!link.member) return this.#handleHello(link, message);
    this.membership.recordContact(link.member, 0);
    const envelope = envelopeSchema.safeParse(message);
    if (envelope.success) this.#handlers.get(envelope.data.kind)?.(link.member, envelope.data.body);
  }

  #handleHello(link: Link, message: unknown): void {
    const hello = helloSchema.safeParse(message);
    if (!hello.success) {
      link.socket.terminate();
      return;
    }
    const { member, beat } = hello.data.self;
    this.membership.recordContact(member, beat);
    for (const news of hello.data.others) this.membership.recordGossip(news);
    if (this.#isDuplicate(link, member)) {
      link.socket.close();
      return;
    }
    link.member = member;
    this.onPeerConnected(member);
  }

  /**
   * Whether `link` is a duplicate that is to be closed. Of two links to the same incarnation of a
   * host, the link that the host with the lesser name dialled is kept. Links to other incarnations
   * of the host are terminated.
   */
  #isDuplicate(link: Link, member: Member): boolean {
    const keepsOwnDialledLink = this.settings.self.host < member.host;
    for (const other of this.#links) {
      if (other === link || other.member?.host !== member.host) continue;
      if (other.member.incarnation !== member.incarnation) {
        other.socket.terminate();
        continue;
      }
      if (other.socket.readyState === WebSocket.OPEN) return link.isDialled !== keepsOwnDialledLink;
    }
    return false;
  }
}
