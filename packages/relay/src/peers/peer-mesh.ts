import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { AttemptUse, FleetView } from '@poppypond/fleet';
import type { Log } from '@poppypond/telemetry';
import { match } from 'ts-pattern';
import type { PlannerPeers } from '../planning/placing.js';
import type { PlanAnswer, PlanRequest } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import { datedWordOf, makeBeat } from './heartbeat.js';
import { fromWireList, toWireList } from './list-on-the-wire.js';
import { packBytes, unpackBytes } from './packed-bytes.js';
import { PeerList } from './peer-list.js';
import type { PeerAddress } from './peer-list.js';
import type { Beat, PeerMessage, WireAsk } from './peer-messages.js';
import type { SharedKnowledge } from './shared-knowledge.js';
import {
  fromWireAsk,
  fromWireUse,
  toWireAnswer,
  toWireAsk,
  toWireUse,
} from './work-on-the-wire.js';

/** Sends one message to a peer; may lose it. */
export interface PeerSender {
  send(address: string, port: number, message: PeerMessage): void;
}

const BEAT_PERIOD_MS: Milliseconds = 500;

/** What the mesh needs. */
export interface PeerMeshParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly sender: PeerSender;
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  /** Services of engines that this host may have to plan for or ask for plans. */
  readonly engineServices: () => readonly string[];
  /** Takes in a planner's answer. */
  readonly onPlan: (attemptId: string, answer: PlanAnswer) => void;
  readonly knowledge: SharedKnowledge;
}

/**
 * Speaks with the few hosts that read the store and plan for all, and is one of them where its
 * rank says so. Messages may be lost: each heartbeat holds the sender's whole state, so that a
 * loss is mended within a period.
 */
export class PeerMesh implements PlannerPeers {
  readonly #peers: PeerList;
  #cancel: CancelTimer = () => undefined;
  #isStopped = false;
  #isListRead = false;
  #greeted = 0;

  constructor(readonly parts: PeerMeshParts) {
    this.#peers = new PeerList(parts.clock, parts.self, () => parts.planner.canPlan);
  }

  /** Whether this host is one of the few that read the store for all: the first by name. */
  isReader(): boolean {
    const { host } = this.parts.self;
    if (this.parts.knowledge.isStoreLost) return false;
    return this.#peers.isAmongReaders(host);
  }

  /** Tells all known hosts that the store told something new. */
  tellNews(): void {
    this.#broadcast(this.#news());
  }

  /** Begins to send heartbeats. */
  start(): void {
    this.#beatAll();
    this.#cancel = this.parts.clock.every(BEAT_PERIOD_MS, () => {
      this.#tick();
    });
  }

  /** Adds all hosts that are listed as members. */
  learn(known: readonly PeerAddress[]): void {
    this.#isListRead = true;
    for (const peer of known) this.#learn(peer);
  }

  /** Tells all known hosts that this one leaves; sends no more heartbeats and takes in nothing afterwards. */
  stop(): void {
    this.#cancel();
    this.#isStopped = true;
    this.#broadcast({ kind: 'leave', ...this.#selfFields() });
  }

  /** Hosts that share budgets with this one, itself included; infinite while that is not known. */
  get hostCount(): number {
    return this.#isListRead ? this.#peers.size + 1 : Number.POSITIVE_INFINITY;
  }

  /** Peers heard from lately. */
  get aliveCount(): number {
    return this.#peers.aliveCount;
  }

  /** Hosts that plan for a service, the first in rank before others; this host may be among them. */
  plannersOf(service: string): readonly string[] {
    return this.#peers.plannersOf(service);
  }

  /** Asks `planner`; the answers go to `onPlan`, or are lost. */
  askPlan(planner: string, request: PlanRequest): void {
    const ask = toWireAsk(request, this.parts.clock.monotonicMs());
    this.#sendTo(planner, { kind: 'ask', ...this.#selfFields(), ask });
  }

  /** Tells `planner` that an attempt won't run by its plan. */
  withdrawPlan(planner: string, attemptId: string): void {
    this.#sendTo(planner, { kind: 'withdraw', ...this.#selfFields(), attempt: attemptId });
  }

  /** An attempt begins; planners of `service` are told, where there are any. */
  begin(use: AttemptUse, service: string | undefined): void {
    this.parts.fleet.begin(use);
    const wire = toWireUse(use, this.parts.clock.monotonicMs());
    this.#tellPlanners(service, { kind: 'begin', ...this.#selfFields(), use: wire });
  }

  /** The first event of an attempt has come. `service`: undefined where planners need not know. */
  onReadDone(attemptId: string, service: string | undefined): void {
    this.parts.fleet.onReadDone(attemptId);
    this.#tellPlanners(service, { kind: 'read', ...this.#selfFields(), attempt: attemptId });
  }

  /** An attempt is over, or won't begin. */
  end(attemptId: string, service: string | undefined): void {
    this.parts.fleet.end(attemptId);
    this.#tellPlanners(service, { kind: 'end', ...this.#selfFields(), attempt: attemptId });
  }

  /** A server failed, so all hosts avoid it; for how long from now. */
  suspect(server: string): Milliseconds {
    const { clock, fleet } = this.parts;
    const nowMs = clock.monotonicMs();
    const isKnown = fleet.suspicions.leftMs(server, nowMs) > 0;
    const forMs = fleet.suspicions.add(server, nowMs);
    if (!isKnown) this.#broadcast({ kind: 'suspect', ...this.#selfFields(), server, forMs });
    return forMs;
  }

  /** Takes in one message; `address` is where it came from. */
  receive(message: PeerMessage, address: string): void {
    if (this.#isStopped || message.host === this.parts.self.host) return;
    this.#hear(message, address);
    const { fleet, planner, clock } = this.parts;
    const nowMs = clock.monotonicMs();
    match(message)
      .with({ kind: 'beat' }, (beat) => {
        this.#takeBeat(beat);
      })
      .with({ kind: 'begin' }, ({ use, host }) => {
        fleet.begin(fromWireUse(use, host, nowMs));
      })
      .with({ kind: 'ask' }, ({ ask, host }) => {
        this.#takeAsk(ask, host);
      })
      .with({ kind: 'plan' }, ({ attempt, answer }) => {
        this.parts.onPlan(attempt, answer);
      })
      .with({ kind: 'withdraw' }, ({ attempt }) => {
        planner.withdraw(attempt);
      })
      .with({ kind: 'read' }, ({ attempt }) => {
        fleet.onReadDone(attempt);
      })
      .with({ kind: 'end' }, ({ attempt }) => {
        fleet.end(attempt);
      })
      .with({ kind: 'suspect' }, ({ server, forMs }) => {
        fleet.suspicions.avoid(server, forMs, nowMs);
      })
      .with({ kind: 'news' }, (news) => {
        this.parts.knowledge.hear(news, {
          configuration: news.configuration ? unpackBytes(news.configuration) : undefined,
          list: news.list ? fromWireList(news.list) : undefined,
        });
      })
      .with({ kind: 'leave' }, ({ host }) => {
        this.#forget(host, 'left');
      })
      .exhaustive();
  }

  #hear(message: PeerMessage, address: string): void {
    const { host, incarnation } = message;
    if (!this.#peers.hear(message, address)) return;
    this.parts.fleet.dropHost(host);
    this.parts.log.info('peer_heard', { peer: host, address, incarnation });
    this.#beat(host, true);
  }

  #takeBeat(beat: Beat): void {
    const { clock, fleet, knowledge, self } = this.parts;
    const nowMs = clock.monotonicMs();
    const uses = beat.uses.map((use) => fromWireUse(use, beat.host, nowMs));
    fleet.replaceHost(beat.host, uses, nowMs);
    if (beat.isQuestion) this.#beat(beat.host, false);
    const word = datedWordOf(beat, self.incarnation);
    if (word) knowledge.hearDated(word);
    if (beat.configurationVersion < knowledge.own.configurationVersion) this.#tell(beat.host);
  }

  /** Plans for `host`; it is told each answer. */
  #takeAsk(ask: WireAsk, host: string): void {
    const { clock, planner } = this.parts;
    const { attempt } = ask;
    planner.submit(fromWireAsk(ask, host, clock.monotonicMs()), (answer) => {
      const wire = toWireAnswer(answer);
      this.#sendTo(host, { kind: 'plan', ...this.#selfFields(), attempt, answer: wire });
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
      else if (!this.#peers.isAlive(peer)) this.parts.fleet.dropHost(peer.host);
    }
    this.#beatAll();
  }

  #forget(host: string, why: 'left' | 'silent'): void {
    this.#peers.remove(host);
    this.parts.fleet.dropHost(host);
    this.parts.log.info('peer_forgotten', { peer: host, why });
  }

  #beatAll(): void {
    const asked = this.#peers.toAsk(this.parts.engineServices());
    this.#peers.noteAsked(asked);
    for (const host of asked) this.#beat(host, true);
    this.#greetSilent();
  }

  /**
   * The first hosts greet those that are silent, one a period and each in its turn: a host that has
   * started while the store is away knows nobody and is told by them what it needs to serve.
   */
  #greetSilent(): void {
    if (!this.#peers.isAmongFirst()) return;
    const silent = this.#peers.silent();
    const next = silent[this.#greeted % Math.max(1, silent.length)];
    this.#greeted += 1;
    if (next) this.#beat(next.host, true);
  }

  #beat(host: string, isQuestion: boolean): void {
    const peer = this.#peers.find(host);
    if (!peer) return;
    const { clock, fleet, knowledge, planner, self, sender } = this.parts;
    const nowMs = clock.monotonicMs();
    const { canPlan } = planner;
    const beat = makeBeat({ self, fleet, knowledge, canPlan, isQuestion, nowMs }, peer);
    sender.send(peer.address, peer.port, beat);
  }

  #broadcast(message: PeerMessage): void {
    for (const peer of this.#peers.all()) {
      this.parts.sender.send(peer.address, peer.port, message);
    }
  }

  #tellPlanners(service: string | undefined, message: PeerMessage): void {
    if (service === undefined) return;
    for (const host of this.#peers.plannersOf(service)) this.#sendTo(host, message);
  }

  #sendTo(host: string, message: PeerMessage): void {
    const peer = this.#peers.find(host);
    if (peer) this.parts.sender.send(peer.address, peer.port, message);
  }

  /** Tells one host all that this one knows of the store: it missed the news, or has just started. */
  #tell(host: string): void {
    this.#sendTo(host, this.#news());
  }

  #news(): PeerMessage {
    const { knowledge } = this.parts;
    const { configurationBytes } = knowledge;
    const configuration = configurationBytes ? packBytes(configurationBytes) : null;
    const list = toWireList(knowledge.listed);
    return { kind: 'news', ...this.#selfFields(), ...knowledge.own, configuration, list };
  }

  #selfFields() {
    const { host, incarnation, port } = this.parts.self;
    return { host, incarnation, port };
  }
}
