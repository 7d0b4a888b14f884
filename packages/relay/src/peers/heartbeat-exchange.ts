import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Planner } from '../planning/planner.js';
import type { ExchangeParts } from './exchange-parts.js';
import { datedVersionsOf, makeHeartbeat } from './heartbeat.js';
import type { LimitExchange } from './limit-exchange.js';
import type { PeerAddress } from './peer-list.js';
import type { Heartbeat } from './peer-messages.js';
import type { QuarantineExchange } from './quarantine-exchange.js';
import type { StoreSyncState } from './store-sync-state.js';
import { fromWireAttemptUse } from './planning-wire-format.js';

/** Silent hosts that each of the first hosts greets in a period, each in its turn. */
const SILENT_PEERS_PER_PERIOD = 4;

/** What heartbeats need. */
export interface HeartbeatExchangeParts extends ExchangeParts {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly syncState: StoreSyncState;
  readonly quarantineExchange: QuarantineExchange;
  readonly limitExchange: LimitExchange;
  /** How many services of engines there are. */
  readonly engineServiceCount: () => number;
  /** Whether a host has to know what this one runs. */
  readonly isPlanner: (host: string) => boolean;
}

/** Exchanges heartbeats with the few hosts that have to know of this one, and it of them. */
export class HeartbeatExchange {
  #silentOffset = 0;

  constructor(readonly parts: HeartbeatExchangeParts) {}

  /** Asks all that this host has to hear of, and greets some that are silent. */
  requestFromPeers(): void {
    const { engineServiceCount, peers } = this.parts;
    const queried = peers.peersToQuery(engineServiceCount());
    peers.recordQueried(queried);
    for (const host of queried) this.send(host, true);
    this.#requestFromSilentPeers();
  }

  /** Sends one heartbeat. `isQuestion`: whether one is to come back at once. */
  send(host: string, isQuestion: boolean): void {
    const { clock, fleet, isPlanner, syncState, peers, planner, self } = this.parts;
    const { limitExchange, quarantineExchange } = this.parts;
    const peer = peers.find(host);
    if (!peer) return;
    const told = {
      canPlan: planner.canPlan,
      isPlanner: isPlanner(host),
      memberCount: peers.size + 1,
      isQuestion,
      quarantine: quarantineExchange.forHeartbeat(),
      limits: limitExchange.forHeartbeat(),
      nowMs: clock.monotonicMs(),
    };
    this.parts.send([peer], makeHeartbeat({ self, fleet, syncState, ...told }, peer));
  }

  /** Takes in what a heartbeat tells, and answers where it asks. */
  onHeartbeat(beat: Heartbeat): void {
    const { fleet, syncState, limitExchange, peers, quarantineExchange, self } = this.parts;
    const nowMs: Milliseconds = this.parts.clock.monotonicMs();
    const uses = beat.uses?.map((use) => fromWireAttemptUse(use, beat.host, nowMs));
    if (uses) fleet.replaceHost(beat.host, uses, nowMs);
    peers.recordMemberCount(beat.host, beat.memberCount);
    quarantineExchange.onHeartbeat(beat);
    limitExchange.onHeartbeat(beat);
    if (beat.isQuestion) this.send(beat.host, false);
    const word = datedVersionsOf(beat, self.incarnation);
    if (word) syncState.onDatedPeerVersions(word);
    else syncState.onPeerVersions(beat);
  }

  /**
   * What is told is not dated, and a host that has just started may serve nothing by it: the next
   * heartbeat would come up to a second later, in which all that it is asked is refused.
   */
  requestConfirmation(host: string): void {
    const { configurationAgeMs, listAgeMs } = this.parts.syncState;
    if (!Number.isFinite(configurationAgeMs) || !Number.isFinite(listAgeMs)) this.send(host, true);
  }

  /**
   * The first hosts greet those that are silent, a few a period and each in its turn: a host that
   * has started while the store is away knows nobody and is told by them what it needs to serve.
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
