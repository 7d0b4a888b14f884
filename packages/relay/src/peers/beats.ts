import type { Milliseconds } from '@poppypond/core';
import type { FleetView } from '@poppypond/fleet';
import type { Planner } from '../planning/planner.js';
import type { ExchangeParts } from './exchange-parts.js';
import { datedWordOf, makeBeat } from './heartbeat.js';
import type { LimitNews } from './limit-news.js';
import type { PeerAddress } from './peer-list.js';
import type { Beat } from './peer-messages.js';
import type { QuarantineNews } from './quarantine-news.js';
import type { StoreSyncState } from './store-sync-state.js';
import { fromWireUse } from './work-on-the-wire.js';

/** Silent hosts that each of the first hosts greets in a period, each in its turn. */
const GREETED_AT_ONCE = 4;

/** What heartbeats need. */
export interface BeatsParts extends ExchangeParts {
  readonly self: PeerAddress & { readonly incarnation: string };
  readonly fleet: FleetView;
  readonly planner: Planner;
  readonly knowledge: StoreSyncState;
  readonly quarantineNews: QuarantineNews;
  readonly limitNews: LimitNews;
  /** How many services of engines there are. */
  readonly engineServiceCount: () => number;
  /** Whether a host has to know what this one runs. */
  readonly isPlanner: (host: string) => boolean;
}

/** Exchanges heartbeats with the few hosts that have to know of this one, and it of them. */
export class Beats {
  #greeted = 0;

  constructor(readonly parts: BeatsParts) {}

  /** Asks all that this host has to hear of, and greets some that are silent. */
  askAll(): void {
    const { engineServiceCount, peers } = this.parts;
    const asked = peers.toAsk(engineServiceCount());
    peers.noteAsked(asked);
    for (const host of asked) this.send(host, true);
    this.#greetSilent();
  }

  /** Sends one heartbeat. `isQuestion`: whether one is to come back at once. */
  send(host: string, isQuestion: boolean): void {
    const { clock, fleet, isPlanner, knowledge, peers, planner, self } = this.parts;
    const { limitNews, quarantineNews } = this.parts;
    const peer = peers.find(host);
    if (!peer) return;
    const told = {
      canPlan: planner.canPlan,
      isPlanner: isPlanner(host),
      memberCount: peers.size + 1,
      isQuestion,
      quarantine: quarantineNews.forBeat(),
      limits: limitNews.forBeat(),
      nowMs: clock.monotonicMs(),
    };
    this.parts.send([peer], makeBeat({ self, fleet, knowledge, ...told }, peer));
  }

  /** Takes in what a heartbeat tells, and answers where it asks. */
  onBeat(beat: Beat): void {
    const { fleet, knowledge, limitNews, peers, quarantineNews, self } = this.parts;
    const nowMs: Milliseconds = this.parts.clock.monotonicMs();
    const uses = beat.uses?.map((use) => fromWireUse(use, beat.host, nowMs));
    if (uses) fleet.replaceHost(beat.host, uses, nowMs);
    peers.noteMembers(beat.host, beat.memberCount);
    quarantineNews.onBeat(beat);
    limitNews.onBeat(beat);
    if (beat.isQuestion) this.send(beat.host, false);
    const word = datedWordOf(beat, self.incarnation);
    if (word) knowledge.hearDated(word);
    else knowledge.hear(beat);
  }

  /**
   * What is told is not dated, and a host that has just started may serve nothing by it: the next
   * heartbeat would come up to a second later, in which all that it is asked is refused.
   */
  askForProof(host: string): void {
    const { configurationAgeMs, listAgeMs } = this.parts.knowledge;
    if (!Number.isFinite(configurationAgeMs) || !Number.isFinite(listAgeMs)) this.send(host, true);
  }

  /**
   * The first hosts greet those that are silent, a few a period and each in its turn: a host that
   * has started while the store is away knows nobody and is told by them what it needs to serve.
   */
  #greetSilent(): void {
    const { peers } = this.parts;
    if (!peers.isAmongFirst() || peers.aliveCount === 0) return;
    const silent = peers.silent();
    const count = Math.min(GREETED_AT_ONCE, silent.length);
    for (let greeted = 0; greeted < count; greeted += 1) {
      const next = silent[(this.#greeted + greeted) % silent.length];
      if (next) this.send(next.host, true);
    }
    this.#greeted += count;
  }
}
