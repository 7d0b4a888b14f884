import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Planner } from '../planning/planner.js';
import type { ColdExchange } from './cold-exchange.js';
import type { ExchangeParts } from './exchange-parts.js';
import { datedVersionsOf, makeHeartbeat } from './heartbeat.js';
import type { EvacuationExchange } from './evacuation-exchange.js';
import type { LimitExchange } from './limit-exchange.js';
import type { PeerClocks } from './peer-clocks.js';
import type { PeerAddress } from './peer-list.js';
import type { Heartbeat } from './peer-messages.js';
import type { QuarantineExchange } from './quarantine-exchange.js';
import type { ResultExchange } from './result-exchange.js';
import type { SpeedExchange } from './speed-exchange.js';
import type { StoreSyncState } from './store-sync-state.js';
import { MAX_WIRE_RETRIES } from './plan-messages.js';
import type { WireAdmission } from './plan-messages.js';
import { fromWireAdmission, fromWireAttemptUse, toWireAdmission } from './planning-wire-format.js';
import type { WithdrawalExchange } from './withdrawal-exchange.js';

/** Number of silent hosts to which each coordinator sends a heartbeat per period, in rotation. */
const SILENT_PEERS_PER_PERIOD = 4;
/**
 * A heartbeat carries scheduled retries up to about this size: half of what a datagram holds, for
 * estimation errors.
 */
const MAX_BEAT_BYTES = 32 * 1024;
/** Usual size of an attempt in a heartbeat, and of a scheduled retry. */
const USE_BYTES = 160;
const RETRY_BYTES = 32;

/** Dependencies of `HeartbeatExchange`. */
export interface HeartbeatExchangeParts extends ExchangeParts {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly syncState: StoreSyncState;
  readonly quarantineExchange: QuarantineExchange;
  readonly limitExchange: LimitExchange;
  readonly evacuationExchange: EvacuationExchange;
  readonly coldExchange: ColdExchange;
  readonly speedExchange: SpeedExchange;
  readonly clocks: PeerClocks;
  readonly resultExchange: ResultExchange;
  readonly withdrawals: WithdrawalExchange;
  /** Number of engine services. */
  readonly engineServiceCount: () => number;
  /** Whether a host is a planner, which has to know the attempts of this one. */
  readonly isPlanner: (host: string) => boolean;
  /** Services for which this host is the first planner and `host` another one. */
  readonly servicesWithStandby: (host: string) => readonly string[];
}

/** Exchanges heartbeats with the few hosts that this one depends on, and that depend on it. */
export class HeartbeatExchange {
  #silentOffset = 0;
  /** Hosts whose questions this host answered before its own state was confirmed. */
  readonly #unconfirmedAnswers = new Set<string>();

  constructor(readonly parts: HeartbeatExchangeParts) {}

  /** Requests heartbeats from all peers that this host depends on, and from some silent ones. */
  requestFromPeers(): void {
    const { engineServiceCount, peers } = this.parts;
    const queried = peers.peersToQuery(engineServiceCount());
    peers.recordQueried(queried);
    for (const host of queried) this.send(host, true);
    this.#requestFromSilentPeers();
  }

  /** Sends one heartbeat. `isQuestion`: whether the peer has to answer at once with its own. */
  send(host: string, isQuestion: boolean): void {
    const { clock, fleet, isPlanner, syncState, peers, planner, self } = this.parts;
    const { coldExchange, evacuationExchange, limitExchange } = this.parts;
    const { quarantineExchange, resultExchange, withdrawals } = this.parts;
    const peer = peers.find(host);
    if (!peer) return;
    const told = {
      canPlan: planner.canPlan && !withdrawals.parts.isFull(),
      isPlanner: isPlanner(host),
      memberCount: peers.size + 1,
      isQuestion,
      quarantine: quarantineExchange.forHeartbeat(),
      limits: limitExchange.forHeartbeat(),
      evacuations: evacuationExchange.forHeartbeat(),
      cold: coldExchange.forHeartbeat(),
      speeds: this.parts.speedExchange.forHeartbeat(host),
      admission: this.#admissionFor(host),
      results: resultExchange.forHeartbeat(host),
      withdrawal: withdrawals.forHeartbeat(peer),
      nowMs: clock.monotonicMs(),
    };
    this.parts.send([peer], makeHeartbeat({ self, fleet, syncState, ...told }, peer));
  }

  /** Applies a heartbeat, and answers it if it requests an answer. */
  onHeartbeat(beat: Heartbeat): void {
    const { fleet, syncState, limitExchange, peers, quarantineExchange, self } = this.parts;
    const { evacuationExchange } = this.parts;
    const nowMs: Milliseconds = this.parts.clock.monotonicMs();
    this.parts.clocks.learn(beat.host, beat.incarnation, beat.sentAtMs, nowMs);
    const uses = beat.uses?.map((use) => fromWireAttemptUse(use, beat.host, nowMs));
    if (uses) fleet.replaceHost(beat.host, uses, nowMs);
    peers.recordMemberCount(beat.host, beat.memberCount);
    quarantineExchange.onHeartbeat(beat);
    limitExchange.onHeartbeat(beat);
    // The confirmation of the configuration covers the evacuated zones, so these are applied first.
    evacuationExchange.onHeartbeat(beat);
    this.parts.coldExchange.onHeartbeat(beat);
    this.parts.speedExchange.recordFromPeer(beat.speeds, beat);
    for (const wire of beat.admission ?? []) {
      this.parts.planner.admissions.restore(wire.service, fromWireAdmission(wire));
    }
    this.parts.resultExchange.onHeartbeat(beat);
    this.parts.withdrawals.onHeartbeat(beat);
    if (beat.isQuestion) this.#answer(beat.host);
    const word = datedVersionsOf(beat, self.incarnation);
    if (word && evacuationExchange.isSetStated(beat)) syncState.onDatedPeerVersions(word);
    else if (word) syncState.onDatedPeerVersions({ ...word, configurationAtMs: undefined });
    else syncState.onPeerVersions(beat);
    this.#completeAnswers();
  }

  #answer(host: string): void {
    this.send(host, false);
    const { configurationAgeMs, listAgeMs } = this.parts.syncState;
    if (Number.isFinite(configurationAgeMs) && Number.isFinite(listAgeMs)) return;
    this.#unconfirmedAnswers.add(host);
  }

  /**
   * Answers once more, now that this host's state is confirmed. When all hosts start together, the
   * host that forwarded the state is itself unconfirmed when it is asked, and its next regular
   * heartbeat would arrive up to a second later.
   */
  #completeAnswers(): void {
    if (this.#unconfirmedAnswers.size === 0) return;
    const { configurationAgeMs, listAgeMs } = this.parts.syncState;
    if (!Number.isFinite(configurationAgeMs) || !Number.isFinite(listAgeMs)) return;
    for (const host of this.#unconfirmedAnswers) this.send(host, false);
    this.#unconfirmedAnswers.clear();
  }

  /**
   * Requests a heartbeat from `host` if the age of this host's configuration or server list is
   * unknown. State received from peers is not dated, and a host that has just started may serve
   * nothing based on it. The next regular heartbeat would arrive up to a second later, and until
   * then every request would be refused.
   */
  requestConfirmation(host: string): void {
    const { configurationAgeMs, listAgeMs } = this.parts.syncState;
    if (!Number.isFinite(configurationAgeMs) || !Number.isFinite(listAgeMs)) this.send(host, true);
  }

  /** Admission state of the services whose standby planner is `host`; undefined if none. */
  #admissionFor(host: string): WireAdmission[] | undefined {
    const { fleet, planner, self, servicesWithStandby } = this.parts;
    const usesBytes = fleet.attemptsOf(self.host).length * USE_BYTES;
    const room = Math.max(0, Math.floor((MAX_BEAT_BYTES - usesBytes) / RETRY_BYTES));
    let retriesLeft = Math.min(MAX_WIRE_RETRIES, room);
    const states = servicesWithStandby(host).flatMap((service) => {
      const state = planner.admissions.state(service, retriesLeft);
      retriesLeft -= state?.retries.length ?? 0;
      return state ? [toWireAdmission(service, state)] : [];
    });
    return states.length > 0 ? states : undefined;
  }

  /**
   * Coordinators send heartbeats to silent hosts, a few per period and in rotation: a host that has
   * started during a store outage knows no other host, and gets what it needs to serve from them.
   */
  #requestFromSilentPeers(): void {
    const { peers } = this.parts;
    if (!peers.isCoordinator() || peers.aliveCount === 0) return;
    const silent = peers.silent();
    const count = Math.min(SILENT_PEERS_PER_PERIOD, silent.length);
    for (let sent = 0; sent < count; sent += 1) {
      const next = silent[(this.#silentOffset + sent) % silent.length];
      if (next) this.send(next.host, true);
    }
    this.#silentOffset += count;
  }
}
