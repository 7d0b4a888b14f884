import { match } from 'ts-pattern';
import type { FleetView } from '@poppypond/fleet';
import type { PlanAnswer } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import type { AttemptExchange } from './attempt-exchange.js';
import type { EvacuationExchange } from './evacuation-exchange.js';
import type { HeartbeatExchange } from './heartbeat-exchange.js';
import type { ColdExchange } from './cold-exchange.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { LeavingExchange } from './leaving-exchange.js';
import type { LimitExchange } from './limit-exchange.js';
import { fromWireServer } from './server-wire-format.js';
import type { StoreStateExchange } from './store-state-exchange.js';
import type { Heartbeat, PeerMessage, WireMember } from './peer-messages.js';
import type { PartTerminationExchange } from './part-termination-exchange.js';
import type { QuarantineExchange } from './quarantine-exchange.js';
import type { StoreSyncState } from './store-sync-state.js';
import { fromWireAttemptUse } from './planning-wire-format.js';

/** Handlers of the messages of other hosts. */
export interface MessageDispatcherParts extends Omit<ExchangeParts, 'senderFields' | 'send'> {
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly syncState: StoreSyncState;
  readonly heartbeats: HeartbeatExchange;
  readonly news: StoreStateExchange;
  readonly attempts: AttemptExchange;
  readonly partTerminationExchange: PartTerminationExchange;
  readonly quarantineExchange: QuarantineExchange;
  readonly leavingExchange: LeavingExchange;
  readonly limitExchange: LimitExchange;
  readonly evacuationExchange: EvacuationExchange;
  readonly coldExchange: ColdExchange;
  readonly onPlan: (attemptId: string, answer: PlanAnswer, planner: string) => void;
  readonly onMembers: (members: readonly WireMember[]) => void;
  readonly onLeft: (host: string) => void;
}

/** Passes each message of another host to the handler of its kind. */
export class MessageDispatcher {
  constructor(readonly parts: MessageDispatcherParts) {}

  dispatch(message: PeerMessage): void {
    const { attempts, clock, fleet, syncState, news, peers, planner } = this.parts;
    const { evacuationExchange, leavingExchange, limitExchange, quarantineExchange } = this.parts;
    const nowMs = clock.monotonicMs();
    match(message)
      .with({ kind: 'beat' }, (beat) => {
        this.#onHeartbeat(beat);
      })
      .with({ kind: 'begin' }, ({ use, host }) => {
        fleet.begin(fromWireAttemptUse(use, host, nowMs));
      })
      .with({ kind: 'ask' }, ({ ask, host, incarnation }) => {
        attempts.onPlanRequest(ask, host, incarnation);
      })
      .with({ kind: 'plan' }, ({ attempt, answer, host }) => {
        this.parts.onPlan(attempt, answer, host);
      })
      .with({ kind: 'withdraw' }, ({ attempt }) => {
        planner.withdraw(attempt);
      })
      .with({ kind: 'read' }, ({ attempt }) => {
        fleet.onPrefillDone(attempt);
      })
      .with({ kind: 'end' }, ({ attempt, isServed }) => {
        if (isServed) fleet.onServed(attempt, nowMs);
        fleet.end(attempt);
      })
      .with({ kind: 'suspect' }, ({ server, forMs, isEngine, isFirm }) => {
        fleet.avoidance.onReported(server, forMs, nowMs, { isEngine, isFirm });
      })
      .with({ kind: 'gone' }, ({ server, host }) => {
        syncState.onServerGone(fromWireServer(server), host);
      })
      .with({ kind: 'told' }, (told) => {
        news.onFragment(told);
      })
      .with({ kind: 'list_change' }, (change) => {
        news.onListDelta(change);
      })
      .with({ kind: 'want' }, (want) => {
        const peer = peers.find(want.host);
        if (peer) news.onStateRequest(peer, want);
      })
      .with({ kind: 'members' }, ({ members }) => {
        this.parts.onMembers(members);
      })
      .with({ kind: 'quarantine' }, (told) => {
        quarantineExchange.onMessage(told);
      })
      .with({ kind: 'part_terminations' }, (told) => {
        this.parts.partTerminationExchange.onMessage(told);
      })
      .with({ kind: 'leaving' }, (told) => {
        leavingExchange.onMessage(told);
      })
      .with({ kind: 'limits' }, (told) => {
        limitExchange.onMessage(told);
      })
      .with({ kind: 'evacuations' }, (told) => {
        evacuationExchange.onMessage(told);
      })
      .with({ kind: 'cold' }, (told) => {
        this.parts.coldExchange.onMessage(told);
      })
      .with({ kind: 'leave' }, ({ host }) => {
        this.parts.onLeft(host);
      })
      .exhaustive();
  }

  #onHeartbeat(beat: Heartbeat): void {
    const { heartbeats, news, peers } = this.parts;
    heartbeats.onHeartbeat(beat);
    const peer = peers.find(beat.host);
    if (peer) news.onVersions(peer, beat);
  }
}
