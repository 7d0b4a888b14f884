import { delay } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { FollowedRequest, MIN_ANNOUNCED_PREFILL_MS } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EventFrame } from '../backend/event-frames.js';
import { ServerAttempt } from '../backend/server-attempt.js';
import type { AttemptEnd } from '../backend/server-attempt.js';
import { DEADLINE_SLACK_MS } from '../planning/planned-use.js';
import type { ResponseHead, CallerHead } from '../ports.js';
import { contentOf } from '../quarantine/request-content.js';
import { RunEnds } from '../quarantine/run-ends.js';
import { describeEnds } from '../quarantine/shared-quarantine.js';
import type { Admitted } from './admit.js';
import { AnswerEvents } from './answer-events.js';
import { AttemptTally } from './attempt-tally.js';
import { AttemptEnds } from './attempt-ends.js';
import { useOf } from './attempt-use.js';
import { AttemptWatch } from './attempt-watch.js';
import type { CallerAnswer } from './caller-answer.js';
import { readersOf } from './choice.js';
import type { Choice } from './choice.js';
import { choose } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';
import { RequestRecord } from './request-record.js';
import { RunAnswer } from './run-answer.js';

/** What is known while one attempt runs. */
interface RunningAttempt {
  readonly id: string;
  readonly choice: Choice;
  readonly attempt: ServerAttempt;
  readonly startedAtMs: Milliseconds;
  hasEvents: boolean;
}

/** Pause before another server is chosen where the gate let none of the chosen ones through. */
const CHOOSE_AGAIN_MS: Milliseconds = 10;

/** The life of one admitted request: attempts, their order, and the one answer. */
export class RelayRun {
  readonly #route: Route;
  readonly #limitAtMs: Milliseconds;
  readonly #record: RequestRecord;
  readonly #tally: AttemptTally;
  readonly #events: AnswerEvents;
  readonly #watch: AttemptWatch;
  /** What is known of servers that ended under it, and how that is found out. */
  readonly #followed: FollowedRequest;
  readonly #ends: RunEnds;
  readonly #runAnswer: RunAnswer;
  readonly #attemptEnds: AttemptEnds;
  /** The last event that the caller was sent, or else the request's coming. */
  #lastEventAtMs: Milliseconds;
  /** When the last attempt began. */
  #attemptAtMs: Milliseconds = 0;
  #current: RunningAttempt | undefined;
  readonly #heldBackIds = new Set<string>();
  /** Whether the current attempt was given up and another follows. */
  #isPassedOver = false;
  /** Why the request ends with the current attempt, which was given up; undefined where it doesn't. */
  #lostBecause: string | undefined;
  #isTimeUp = false;

  constructor(
    readonly parts: RelayParts,
    readonly caller: CallerHead,
    readonly admitted: Admitted,
    readonly body: Buffer,
    readonly answer: CallerAnswer,
    readonly arrivedAtMs: Milliseconds,
  ) {
    this.#route = admitted.route;
    this.#record = new RequestRecord(parts, caller, admitted, arrivedAtMs);
    this.#tally = new AttemptTally({
      route: this.#route,
      record: this.#record,
      leftMs: () => this.#leftMs(),
      isQuarantined: () => this.#followed.checkHold() !== undefined,
      takeRetry: () => parts.budget.tryTake(admitted.service),
    });
    const waitsMs = Math.min(caller.timeoutMs ?? Number.POSITIVE_INFINITY, this.#route.timeoutMs);
    this.#limitAtMs = arrivedAtMs + waitsMs;
    this.#events = new AnswerEvents(answer, caller.lastEventId);
    this.#lastEventAtMs = arrivedAtMs;
    const { clock, memory, servers, quarantine } = parts;
    const onFound = this.#record.serverFound.bind(this.#record);
    const content = contentOf(caller, admitted.workspace, body);
    this.#followed = new FollowedRequest(quarantine, content);
    this.#ends = new RunEnds({ clock, servers, onFound }, this.#followed);
    this.#runAnswer = new RunAnswer({
      answer,
      record: this.#record,
      tally: this.#tally,
      events: this.#events,
      isTimeUp: () => this.#isTimeUp,
      comeBackMs: () => this.#comeBackMs(),
    });
    this.#attemptEnds = new AttemptEnds({
      relay: parts,
      answer,
      runAnswer: this.#runAnswer,
      record: this.#record,
      tally: this.#tally,
      followed: this.#followed,
      ends: this.#ends,
      limitMs: waitsMs,
    });
    this.#watch = new AttemptWatch({
      clock,
      memory,
      servers,
      route: this.#route,
      mayRepeat: this.#tally.mayRepeat,
      onDead: (server, why) => {
        this.#passOver(server, why);
      },
      onLifeOver: (server) => {
        this.#onLifeOver(server);
      },
    });
  }

  /** Serves the request; resolves when its answer is over. */
  async run(): Promise<void> {
    const { clock, budget } = this.parts;
    budget.onRequest(this.admitted.service);
    const cancelLimit = clock.after(this.#leftMs() + DEADLINE_SLACK_MS, () => {
      this.#isTimeUp = true;
      this.#current?.attempt.cancel();
    });
    this.answer.onGone(() => {
      this.#current?.attempt.cancel();
    });
    this.answer.onDrain(() => {
      this.#current?.attempt.resume();
    });
    try {
      await this.#tryServers();
    } finally {
      cancelLimit();
      this.#watch.end();
    }
  }

  async #tryServers(): Promise<void> {
    const { parts, caller, admitted, arrivedAtMs } = this;
    const inputs = {
      parts,
      caller,
      admitted,
      arrivedAtMs,
      limitAtMs: this.#limitAtMs,
      silentSinceMs: () => this.#lastEventAtMs,
      failedIds: this.#tally.failedIds,
      heldBackIds: this.#heldBackIds,
      content: () => this.#followed.content,
      isOver: () => this.#isOver(),
      onWriterLost: (writer: BackendServer) => {
        this.#passOver(writer, 'no answer to a question for its state');
      },
    };
    for (;;) {
      if (this.#refuseQuarantined()) return;
      const chosen = await choose(inputs);
      if (chosen.kind === 'over') return this.#runAnswer.finishOver();
      if (chosen.kind === 'refused') return this.#runAnswer.giveUp(chosen.why, chosen.retryAfterMs);
      // Word of servers that ended may have come while it waited for a place.
      if (this.#refuseQuarantined()) return this.#leave(chosen.choice);
      if (this.#isHeldBack(chosen.choice)) {
        await delay(parts.clock, CHOOSE_AGAIN_MS);
        continue;
      }
      const end = await this.#attempt(chosen.choice);
      if (await this.#finishWith(end, chosen.choice)) return;
    }
  }

  /** Whether a server of the choice, which is left then, has said meanwhile that it wants nothing. */
  #isHeldBack(choice: Choice): boolean {
    const block = this.parts.gate.tryTake(choice);
    if (!block) return false;
    this.#record.heldBack(block.id, block.why);
    this.#heldBackIds.add(block.id);
    this.#leave(choice);
    return true;
  }

  /** When a caller may come back where no server of the service may be sent anything now. */
  #comeBackMs(): Milliseconds | undefined {
    const { gate } = this.parts;
    const nextMs = gate.nextMs(this.admitted.service);
    return nextMs ? gate.comeBackMs(nextMs) : undefined;
  }

  /** Gives the place up that a choice took, unused. */
  #leave({ attemptId, held }: Choice): void {
    this.parts.peers.end(attemptId, this.#engineService);
    void held?.release();
  }

  /**
   * Answers at once a request under which servers have ended, whoever sent it and however often: it would end
   * the next one too, and with it all that runs there. True where it did.
   */
  #refuseQuarantined(): boolean {
    const held = this.#followed.checkHold();
    if (!held) return false;
    const ended = describeEnds(held.entry, this.parts.clock.monotonicMs());
    this.#runAnswer.giveUp(`servers ended under it: ${ended}`, held.forMs, 'quarantined');
    return true;
  }

  #leftMs(): Milliseconds {
    return this.#limitAtMs - this.parts.clock.monotonicMs();
  }

  #isOver(): boolean {
    return this.answer.isGone || this.#isTimeUp || this.#leftMs() <= 0;
  }

  async #attempt(choice: Choice): Promise<AttemptEnd> {
    const id = choice.attemptId;
    const timeLeftMs = Math.max(1, Math.floor(this.#leftMs()));
    this.#record.placed(id, choice.server, choice.plan, timeLeftMs);
    this.#followed.begin(id);
    this.#announce(choice);
    const attempt = this.#open(choice, timeLeftMs);
    const startedAtMs = this.parts.clock.monotonicMs();
    this.#attemptAtMs = startedAtMs;
    this.#current = { id, choice, attempt, startedAtMs, hasEvents: false };
    this.#watch.begin(choice, this.#leftMs());
    const end = await attempt.done;
    this.#current = undefined;
    this.#watch.end();
    this.parts.gate.onOver(choice.server, id);
    this.parts.peers.end(id, this.#engineService);
    void choice.held?.release();
    this.#record.attemptEnded(end.kind);
    return end;
  }

  /** Takes in the end of an attempt; true when the answer is over. */
  #finishWith(end: AttemptEnd, choice: Choice): Promise<boolean> {
    const silentSinceMs = Math.max(this.#attemptAtMs, this.#lastEventAtMs);
    const silentMs = this.parts.clock.monotonicMs() - silentSinceMs;
    const givenUp = {
      isPassedOver: this.#isPassedOver,
      lostBecause: this.#lostBecause,
      silentMs,
    };
    if (end.kind === 'cancelled') this.#isPassedOver = false;
    return this.#attemptEnds.finishWith(end, choice, givenUp);
  }

  #open(choice: Choice, timeLeftMs: Milliseconds): ServerAttempt {
    const { clock, wire } = this.parts;
    const { caller, body } = this;
    const { server } = choice;
    const headers = wire.attemptHeaders(caller, {
      server,
      timeLeftMs,
      workspace: this.admitted.workspace,
      priority: this.admitted.figures && this.admitted.priority,
      lastEventId: this.#events.lastId,
      readers: readersOf(choice),
      bodyLength: body.length,
    });
    const { method, path, requestId } = caller;
    const wantsEvents = this.#route.kind === 'stream';
    const askedAtMs = clock.monotonicMs();
    return new ServerAttempt(
      { server, method, path, headers, body, requestId, wantsEvents },
      {
        clock,
        readAnswer: (message) => wire.parseResponseHead(message),
        onHead: ({ word, isNotExecuted: isNotRun }) => {
          this.parts.notices.recordNotice(server, word, askedAtMs);
          if (word.backoffMs === undefined && !isNotRun)
            this.parts.gate.onAnswered(server, choice.attemptId);
        },
        onFrames: (frames, head) => this.#onFrames(frames, head),
      },
    );
  }

  #announce(choice: Choice): void {
    const { clock, host, peers } = this.parts;
    const use = useOf(choice, host, clock.monotonicMs(), this.#limitAtMs);
    peers.begin(use, this.#engineService);
  }

  /** The service by whose planners attempts are known; undefined for plain services. */
  get #engineService(): string | undefined {
    return this.admitted.figures && this.admitted.service;
  }

  /** Gives the current attempt up for a fault of `server` and tries others, if one more may be tried. */
  #passOver(server: BackendServer, why: string): void {
    const running = this.#current;
    if (!running || !this.#tally.tryPassOver(server.id)) return;
    void this.#ends.askAfter(running.id, server, why);
    this.#attemptEnds.suspect(server, why);
    this.#isPassedOver = true;
    running.attempt.cancel();
  }

  /**
   * A server that the current attempt depends on has started again, and what ran there is gone, also
   * where its connection is silent. A request that may be repeated goes elsewhere at once, another
   * one ends: its caller is told that the outcome is not known.
   */
  #onLifeOver(server: BackendServer): void {
    const running = this.#current;
    if (!running?.attempt.isConnected) return;
    const { choice, hasEvents } = running;
    const isNeeded = server.id === choice.server.id || !hasEvents || choice.held !== undefined;
    if (!isNeeded) return;
    this.#record.attemptLost(running.id, server);
    this.#ends.onStartedAgain(running.id, server);
    if (this.#tally.tryPassOver(choice.server.id)) this.#isPassedOver = true;
    else this.#lostBecause = 'the server that ran it has started again';
    running.attempt.cancel();
  }

  #onFrames(frames: readonly EventFrame[], head: ResponseHead): boolean {
    const running = this.#current;
    if (!running || this.answer.isGone) return true;
    if (!running.hasEvents) this.#onFirstEvent(running);
    this.#record.events();
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#watch.onEvents();
    return this.#events.write(frames, head);
  }

  #onFirstEvent(running: RunningAttempt): void {
    running.hasEvents = true;
    const { id, choice, startedAtMs } = running;
    const { clock, fleet, peers } = this.parts;
    const { partMs = 0, expectedFirstMs = 0 } = choice.plan?.stream ?? {};
    const isTold = partMs >= MIN_ANNOUNCED_PREFILL_MS;
    peers.onPrefillDone(id, isTold ? this.#engineService : undefined);
    fleet.suspicions.clear(choice.server.id, clock.monotonicMs());
    const tookMs = clock.monotonicMs() - startedAtMs;
    this.#record.firstEvent(id, choice.server, tookMs, expectedFirstMs);
  }
}
