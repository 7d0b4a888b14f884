import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { AttemptUse, FleetView, ReadQueue, WaitingRead } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import { match } from 'ts-pattern';
import { PeerList } from './peer-list.js';
import type { Peer, PeerAddress } from './peer-list.js';
import type { Beat, PeerMessage } from './peer-messages.js';
import type { SharedKnowledge } from './shared-knowledge.js';
import { fromWireUse, fromWireWait, toWireUse, toWireWait } from './work-on-the-wire.js';

/** Sends one message to a peer; may lose it. */
export interface PeerSender {
  send(address: string, port: number, message: PeerMessage): void;
}

const BEAT_PERIOD_MS: Milliseconds = 500;
/** With many peers, those that don't read the store get one beat of this many. */
const SELDOM_BEATS = 4;

function finiteOrNull(ageMs: Milliseconds): Milliseconds | null {
  return Number.isFinite(ageMs) ? ageMs : null;
}

function echoOf({ incarnation, lastSentAtMs }: Peer): Beat['echo'] {
  if (incarnation === undefined || lastSentAtMs === undefined) return null;
  return { incarnation, sentAtMs: lastSentAtMs };
}

/** What the mesh needs. */
export interface PeerMeshParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly sender: PeerSender;
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly queue: ReadQueue;
  readonly knowledge: SharedKnowledge;
}

/**
 * Tells peers what this host runs and takes in what they run. Messages may be lost: each
 * heartbeat holds the sender's whole state, so that a loss is mended within a period.
 */
export class PeerMesh {
  readonly #peers: PeerList;
  #cancel: CancelTimer = () => undefined;
  #beats = 0;
  #isStopped = false;

  constructor(readonly parts: PeerMeshParts) {
    this.#peers = new PeerList(parts.clock);
  }

  /** Whether this host is one of the few that read the store for all: the first by name. */
  isReader(): boolean {
    const { host } = this.parts.self;
    if (this.parts.knowledge.isStoreLost) return false;
    return this.#peers.isAmongReaders(host);
  }

  /** Tells all that the store told something new. */
  tellNews(): void {
    this.#broadcast({ kind: 'news', ...this.#selfFields(), ...this.parts.knowledge.own });
  }

  /** Begins to send heartbeats, also to the hosts in `known`. */
  start(known: readonly PeerAddress[]): void {
    for (const peer of known) this.#learn(peer);
    this.#beatAll();
    this.#cancel = this.parts.clock.every(BEAT_PERIOD_MS, () => {
      this.#tick();
    });
  }

  /** Adds hosts that are listed as members. */
  learn(known: readonly PeerAddress[]): void {
    for (const peer of known) this.#learn(peer);
  }

  /** Tells all that this host leaves; sends no more heartbeats and takes in nothing afterwards. */
  stop(): void {
    this.#cancel();
    this.#isStopped = true;
    this.#broadcast({ kind: 'leave', ...this.#selfFields() });
  }

  /** Hosts that share budgets with this one, itself included. */
  get hostCount(): number {
    return this.#peers.size + 1;
  }

  /** Peers heard from lately. */
  get aliveCount(): number {
    return this.#peers.aliveCount;
  }

  /** An attempt of `request` begins, which waits no more. */
  begin(request: string, use: AttemptUse): void {
    this.parts.fleet.begin(use);
    this.parts.queue.remove(request);
    const wire = toWireUse(use, this.parts.clock.monotonicMs());
    this.#broadcast({ kind: 'begin', ...this.#selfFields(), request, use: wire });
  }

  /** A long prompt waits for its turn. */
  wait(read: WaitingRead): void {
    this.parts.queue.add(read);
    const wire = toWireWait(read, this.parts.clock.monotonicMs());
    this.#broadcast({ kind: 'wait', ...this.#selfFields(), wait: wire });
  }

  /** A long prompt waits no more and does not run either. */
  unwait(request: string): void {
    this.parts.queue.remove(request);
    this.#broadcast({ kind: 'unwait', ...this.#selfFields(), request });
  }

  /** The first event of an attempt has come. `isTold`: whether peers gain from knowing at once. */
  onReadDone(attemptId: string, isTold: boolean): void {
    this.parts.fleet.onReadDone(attemptId);
    if (isTold) this.#broadcast({ kind: 'read', ...this.#selfFields(), attempt: attemptId });
  }

  /** An attempt is over. */
  end(attemptId: string): void {
    this.parts.fleet.end(attemptId);
    this.#broadcast({ kind: 'end', ...this.#selfFields(), attempt: attemptId });
  }

  /** All hosts avoid `server` for `forMs` from now. */
  suspect(server: string, forMs: Milliseconds): void {
    this.parts.fleet.suspect(server, this.parts.clock.monotonicMs() + forMs);
    this.#broadcast({ kind: 'suspect', ...this.#selfFields(), server, forMs });
  }

  /** Takes in one message; `address` is where it came from. */
  receive(message: PeerMessage, address: string): void {
    if (this.#isStopped || message.host === this.parts.self.host) return;
    this.#hear(message, address);
    const { fleet, queue, clock } = this.parts;
    const nowMs = clock.monotonicMs();
    match(message)
      .with({ kind: 'beat' }, (beat) => {
        this.#takeBeat(beat);
      })
      .with({ kind: 'begin' }, ({ request, use, host }) => {
        queue.remove(request);
        fleet.begin(fromWireUse(use, host, nowMs));
      })
      .with({ kind: 'wait' }, ({ wait, host }) => {
        queue.add(fromWireWait(wait, host, nowMs));
      })
      .with({ kind: 'unwait' }, ({ request }) => {
        queue.remove(request);
      })
      .with({ kind: 'read' }, ({ attempt }) => {
        fleet.onReadDone(attempt);
      })
      .with({ kind: 'end' }, ({ attempt }) => {
        fleet.end(attempt);
      })
      .with({ kind: 'suspect' }, ({ server, forMs }) => {
        fleet.suspect(server, nowMs + forMs);
      })
      .with({ kind: 'news' }, (news) => {
        this.parts.knowledge.hear(news);
      })
      .with({ kind: 'leave' }, ({ host }) => {
        this.#forget(host, 'left');
      })
      .exhaustive();
  }

  #hear(message: PeerMessage, address: string): void {
    const { host, incarnation } = message;
    if (!this.#peers.hear(message, address)) return;
    this.#dropWorkOf(host);
    this.parts.log.info('peer_heard', { peer: host, address, incarnation });
    this.#beat(host, true);
  }

  #takeBeat(beat: Beat): void {
    const { clock, fleet, knowledge, queue, self } = this.parts;
    const nowMs = clock.monotonicMs();
    queue.replaceHost(
      beat.host,
      beat.waits.map((wait) => fromWireWait(wait, beat.host, nowMs)),
    );
    fleet.replaceHost(
      beat.host,
      beat.uses.map((use) => fromWireUse(use, beat.host, nowMs)),
    );
    if (beat.isQuestion) this.#beat(beat.host, false);
    if (beat.echo?.incarnation !== self.incarnation) return;
    // Ages were told after our own beat had arrived there, so they held at that beat or later.
    const { sentAtMs } = beat.echo;
    const dated = (ageMs: number | null) => (ageMs === null ? undefined : sentAtMs - ageMs);
    knowledge.hearDated({
      configurationVersion: beat.configurationVersion,
      configurationAtMs: dated(beat.configurationAgeMs),
      listDigest: beat.listDigest,
      listAtMs: dated(beat.listAgeMs),
    });
  }

  #learn(peer: PeerAddress): void {
    if (peer.host === this.parts.self.host || !this.#peers.add(peer)) return;
    this.#beat(peer.host, true);
  }

  #tick(): void {
    this.parts.fleet.expire(this.parts.clock.monotonicMs());
    for (const peer of this.#peers.all()) {
      if (this.#peers.isForgotten(peer)) this.#forget(peer.host, 'silent');
      else if (!this.#peers.isAlive(peer)) this.#dropWorkOf(peer.host);
    }
    this.#beatAll();
  }

  #forget(host: string, why: 'left' | 'silent'): void {
    this.#peers.remove(host);
    this.#dropWorkOf(host);
    this.parts.log.info('peer_forgotten', { peer: host, why });
  }

  #dropWorkOf(host: string): void {
    this.parts.fleet.replaceHost(host, []);
    this.parts.queue.replaceHost(host, []);
  }

  #beatAll(): void {
    this.#beats += 1;
    const asked = new Set(this.#peers.firstReaders().map((peer) => peer.host));
    const isForAll = !this.#peers.isLarge || this.#beats % SELDOM_BEATS === 0;
    for (const { host } of this.#peers.all()) {
      if (asked.has(host)) this.#beat(host, true);
      else if (isForAll) this.#beat(host, false);
    }
  }

  #beat(host: string, isQuestion: boolean): void {
    const peer = this.#peers.find(host);
    if (!peer) return;
    const { clock, fleet, knowledge, queue, self, sender } = this.parts;
    const nowMs = clock.monotonicMs();
    sender.send(peer.address, peer.port, {
      kind: 'beat',
      ...this.#selfFields(),
      sentAtMs: nowMs,
      echo: echoOf(peer),
      isStoreLost: knowledge.isStoreLost,
      isQuestion,
      ...knowledge.own,
      configurationAgeMs: finiteOrNull(knowledge.configurationAgeMs),
      listAgeMs: finiteOrNull(knowledge.listAgeMs),
      uses: fleet.attemptsOf(self.host).map((use) => toWireUse(use, nowMs)),
      waits: queue.ofHost(self.host).map((read) => toWireWait(read, nowMs)),
    });
  }

  #broadcast(message: PeerMessage): void {
    for (const peer of this.#peers.all()) {
      this.parts.sender.send(peer.address, peer.port, message);
    }
  }

  #selfFields() {
    const { host, incarnation, port } = this.parts.self;
    return { host, incarnation, port };
  }
}
