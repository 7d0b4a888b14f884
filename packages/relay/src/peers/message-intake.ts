import { match } from 'ts-pattern';
import type { FleetView } from '@poppypond/fleet';
import type { PlanAnswer } from '../planning/plan-request.js';
import type { Planner } from '../planning/planner.js';
import type { AttemptNews } from './attempt-news.js';
import type { Beats } from './beats.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { LeavingNews } from './leaving-news.js';
import type { LimitNews } from './limit-news.js';
import { fromWireServer } from './list-on-the-wire.js';
import type { News } from './news.js';
import type { Beat, PeerMessage, WireMember } from './peer-messages.js';
import type { QuarantineNews } from './quarantine-news.js';
import type { StoreSyncState } from './store-sync-state.js';
import { fromWireUse } from './work-on-the-wire.js';

/** Whoever takes in messages of other hosts. */
export interface MessageIntakeParts extends Omit<ExchangeParts, 'selfFields' | 'send'> {
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly knowledge: StoreSyncState;
  readonly beats: Beats;
  readonly news: News;
  readonly attempts: AttemptNews;
  readonly quarantineNews: QuarantineNews;
  readonly leavingNews: LeavingNews;
  readonly limitNews: LimitNews;
  readonly onPlan: (attemptId: string, answer: PlanAnswer) => void;
  readonly onMembers: (members: readonly WireMember[]) => void;
  readonly onLeft: (host: string) => void;
}

/** Gives each message of another host to whoever takes its kind in. */
export class MessageIntake {
  constructor(readonly parts: MessageIntakeParts) {}

  take(message: PeerMessage): void {
    const { attempts, clock, fleet, knowledge, news, peers, planner } = this.parts;
    const { leavingNews, limitNews, quarantineNews } = this.parts;
    const nowMs = clock.monotonicMs();
    match(message)
      .with({ kind: 'beat' }, (beat) => {
        this.#onBeat(beat);
      })
      .with({ kind: 'begin' }, ({ use, host }) => {
        fleet.begin(fromWireUse(use, host, nowMs));
      })
      .with({ kind: 'ask' }, ({ ask, host }) => {
        attempts.onAsk(ask, host);
      })
      .with({ kind: 'plan' }, ({ attempt, answer }) => {
        this.parts.onPlan(attempt, answer);
      })
      .with({ kind: 'withdraw' }, ({ attempt }) => {
        planner.withdraw(attempt);
      })
      .with({ kind: 'read' }, ({ attempt }) => {
        fleet.onPrefillDone(attempt);
      })
      .with({ kind: 'end' }, ({ attempt }) => {
        fleet.end(attempt);
      })
      .with({ kind: 'suspect' }, ({ server, forMs }) => {
        fleet.suspicions.avoid(server, forMs, nowMs);
      })
      .with({ kind: 'gone' }, ({ server, host }) => {
        knowledge.hearGone(fromWireServer(server), host);
      })
      .with({ kind: 'told' }, (told) => {
        news.onTold(told);
      })
      .with({ kind: 'list_change' }, (change) => {
        news.onListChange(change);
      })
      .with({ kind: 'want' }, (want) => {
        const peer = peers.find(want.host);
        if (peer) news.onWant(peer, want);
      })
      .with({ kind: 'members' }, ({ members }) => {
        this.parts.onMembers(members);
      })
      .with({ kind: 'quarantine' }, (told) => {
        quarantineNews.onTold(told);
      })
      .with({ kind: 'leaving' }, (told) => {
        leavingNews.onTold(told);
      })
      .with({ kind: 'limits' }, (told) => {
        limitNews.onTold(told);
      })
      .with({ kind: 'leave' }, ({ host }) => {
        this.parts.onLeft(host);
      })
      .exhaustive();
  }

  #onBeat(beat: Beat): void {
    const { beats, news, peers } = this.parts;
    beats.onBeat(beat);
    const peer = peers.find(beat.host);
    if (peer) news.onWord(peer, beat);
  }
}
