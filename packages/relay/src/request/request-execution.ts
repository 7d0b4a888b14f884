import { delay } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { FollowedRequest, MIN_ANNOUNCED_PREFILL_MS } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EventFrame } from '../backend/event-frame-splitter.js';
import { ServerAttempt } from '../backend/server-attempt.js';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import { DEADLINE_SLACK_MS } from '../planning/planned-use.js';
import type { ResponseHead, CallerHead } from '../ports.js';
import { contentOf } from '../quarantine/request-content.js';
import { TerminationDetector } from '../quarantine/termination-detector.js';
import { describeTerminations } from '../quarantine/shared-quarantine.js';
import type { AdmittedRequest } from './admit.js';
import { ResponseEvents } from './response-events.js';
import { AttemptHistory } from './attempt-history.js';
import { AttemptOutcomeHandler } from './attempt-outcome-handler.js';
import { useOf } from './attempt-use.js';
import { AttemptMonitor } from './attempt-monitor.js';
import type { CallerResponse } from './caller-response.js';
import { prefillEnginesOf } from './choice.js';
import type { Choice } from './choice.js';
import { chooseServer } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';
import { RequestTelemetry } from './request-telemetry.js';
import { FinalResponse } from './final-response.js';

/** What is known while one attempt runs. */
interface RunningAttempt {
  readonly id: string;
  readonly choice: Choice;
  readonly attempt: ServerAttempt;
  readonly startedAtMs: Milliseconds;
  hasEvents: boolean;
}

/** Pause before another server is chosen where the gate let none of the chosen ones through. */
const RECHOOSE_DELAY_MS: Milliseconds = 10;

/** The life of one admitted request: attempts, their order, and the one answer. */
export class RequestExecution {
  readonly #route: Route;
  readonly #deadlineAtMs: Milliseconds;
  readonly #telemetry: RequestTelemetry;
  readonly #history: AttemptHistory;
  readonly #events: ResponseEvents;
  readonly #monitor: AttemptMonitor;
  /** What is known of servers that ended under it, and how that is found out. */
  readonly #followed: FollowedRequest;
  readonly #terminations: TerminationDetector;
  readonly #finalResponse: FinalResponse;
  readonly #outcomeHandler: AttemptOutcomeHandler;
  /** The last event that the caller was sent, or else the request's coming. */
  #lastEventAtMs: Milliseconds;
  /** When the last attempt began. */
  #attemptAtMs: Milliseconds = 0;
  #current: RunningAttempt | undefined;
  readonly #blockedIds = new Set<string>();
  /** Whether the current attempt was given up and another follows. */
  #isRetried = false;
  /** Why the request ends with the current attempt, which was given up; undefined where it doesn't. */
  #failureReason: string | undefined;
  #hasTimedOut = false;

  constructor(
    readonly parts: RelayParts,
    readonly caller: CallerHead,
    readonly admitted: AdmittedRequest,
    readonly body: Buffer,
    readonly answer: CallerResponse,
    readonly arrivedAtMs: Milliseconds,
  ) {
    this.#route = admitted.route;
    this.#telemetry = new RequestTelemetry(parts, caller, admitted, arrivedAtMs);
    this.#history = new AttemptHistory({
      route: this.#route,
      telemetry: this.#telemetry,
      leftMs: () => this.#leftMs(),
      isQuarantined: () => this.#followed.checkHold() !== undefined,
      takeRetry: () => parts.budget.tryTake(admitted.service),
    });
    const timeoutMs = Math.min(caller.timeoutMs ?? Number.POSITIVE_INFINITY, this.#route.timeoutMs);
    this.#deadlineAtMs = arrivedAtMs + timeoutMs;
    this.#events = new ResponseEvents(answer, caller.lastEventId);
    this.#lastEventAtMs = arrivedAtMs;
    const { clock, memory, servers, quarantine } = parts;
    const onProbed = this.#telemetry.serverProbed.bind(this.#telemetry);
    const content = contentOf(caller, admitted.workspace, body);
    this.#followed = new FollowedRequest(quarantine, content);
    this.#terminations = new TerminationDetector({ clock, servers, onProbed }, this.#followed);
    this.#finalResponse = new FinalResponse({
      answer,
      telemetry: this.#telemetry,
      history: this.#history,
      events: this.#events,
      hasTimedOut: () => this.#hasTimedOut,
      retryDelayMs: () => this.#retryDelayMs(),
    });
    this.#outcomeHandler = new AttemptOutcomeHandler({
      relay: parts,
      answer,
      finalResponse: this.#finalResponse,
      telemetry: this.#telemetry,
      history: this.#history,
      followed: this.#followed,
      ends: this.#terminations,
      timeoutMs,
    });
    this.#monitor = new AttemptMonitor({
      clock,
      memory,
      servers,
      route: this.#route,
      mayRepeat: this.#history.mayRepeat,
      onUnresponsive: (server, why) => {
        this.#abandonFor(server, why);
      },
      onRestarted: (server) => {
        this.#onServerRestarted(server);
      },
    });
  }

  /** Serves the request; resolves when its answer is over. */
  async run(): Promise<void> {
    const { clock, budget } = this.parts;
    budget.onRequest(this.admitted.service);
    const cancelTimeout = clock.after(this.#leftMs() + DEADLINE_SLACK_MS, () => {
      this.#hasTimedOut = true;
      this.#current?.attempt.cancel();
    });
    this.answer.onDisconnect(() => {
      this.#current?.attempt.cancel();
    });
    this.answer.onDrain(() => {
      this.#current?.attempt.resume();
    });
    try {
      await this.#tryServers();
    } finally {
      cancelTimeout();
      this.#monitor.end();
    }
  }

  async #tryServers(): Promise<void> {
    const { parts, caller, admitted, arrivedAtMs } = this;
    const inputs = {
      parts,
      caller,
      admitted,
      arrivedAtMs,
      deadlineAtMs: this.#deadlineAtMs,
      callerSilentSinceMs: () => this.#lastEventAtMs,
      failedIds: this.#history.failedIds,
      blockedIds: this.#blockedIds,
      content: () => this.#followed.content,
      isFinished: () => this.#isFinished(),
      onDecodeEngineLost: (engine: BackendServer) => {
        this.#abandonFor(engine, 'no answer to a question for its state');
      },
    };
    for (;;) {
      if (this.#refuseQuarantined()) return;
      const outcome = await chooseServer(inputs);
      if (outcome.kind === 'over') return this.#finalResponse.finishUnserved();
      if (outcome.kind === 'refused')
        return this.#finalResponse.giveUp(outcome.why, outcome.retryAfterMs);
      // Word of servers that ended may have come while it waited for a place.
      if (this.#refuseQuarantined()) return this.#releaseChoice(outcome.choice);
      if (this.#isBlocked(outcome.choice)) {
        await delay(parts.clock, RECHOOSE_DELAY_MS);
        continue;
      }
      const end = await this.#attempt(outcome.choice);
      if (await this.#handleOutcome(end, outcome.choice)) return;
    }
  }

  /** Whether a server of the choice, which is left then, has said meanwhile that it wants nothing. */
  #isBlocked(choice: Choice): boolean {
    const block = this.parts.gate.admitAttempt(choice);
    if (!block) return false;
    this.#telemetry.sendBlocked(block.id, block.why);
    this.#blockedIds.add(block.id);
    this.#releaseChoice(choice);
    return true;
  }

  /** When a caller may come back where no server of the service may be sent anything now. */
  #retryDelayMs(): Milliseconds | undefined {
    const { gate } = this.parts;
    const nextMs = gate.nextUsableInMs(this.admitted.service);
    return nextMs ? gate.callerRetryDelayMs(nextMs) : undefined;
  }

  /** Gives the place up that a choice took, unused. */
  #releaseChoice({ attemptId, held }: Choice): void {
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
    const ended = describeTerminations(held.entry, this.parts.clock.monotonicMs());
    this.#finalResponse.giveUp(`servers ended under it: ${ended}`, held.forMs, 'quarantined');
    return true;
  }

  #leftMs(): Milliseconds {
    return this.#deadlineAtMs - this.parts.clock.monotonicMs();
  }

  #isFinished(): boolean {
    return this.answer.isDisconnected || this.#hasTimedOut || this.#leftMs() <= 0;
  }

  async #attempt(choice: Choice): Promise<AttemptOutcome> {
    const id = choice.attemptId;
    const timeLeftMs = Math.max(1, Math.floor(this.#leftMs()));
    this.#telemetry.placed(id, choice.server, choice.plan, timeLeftMs);
    this.#followed.begin(id);
    this.#announce(choice);
    const attempt = this.#open(choice, timeLeftMs);
    const startedAtMs = this.parts.clock.monotonicMs();
    this.#attemptAtMs = startedAtMs;
    this.#current = { id, choice, attempt, startedAtMs, hasEvents: false };
    this.#monitor.begin(choice, this.#leftMs());
    const end = await attempt.done;
    this.#current = undefined;
    this.#monitor.end();
    this.parts.gate.onAttemptEnd(choice.server, id);
    this.parts.peers.end(id, this.#engineService);
    void choice.held?.release();
    this.#telemetry.attemptEnded(end.kind);
    return end;
  }

  /** Takes in the end of an attempt; true when the answer is over. */
  #handleOutcome(end: AttemptOutcome, choice: Choice): Promise<boolean> {
    const silentSinceMs = Math.max(this.#attemptAtMs, this.#lastEventAtMs);
    const silentMs = this.parts.clock.monotonicMs() - silentSinceMs;
    const abandonment = {
      isRetried: this.#isRetried,
      failureReason: this.#failureReason,
      silentMs,
    };
    if (end.kind === 'cancelled') this.#isRetried = false;
    return this.#outcomeHandler.handle(end, choice, abandonment);
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
      readers: prefillEnginesOf(choice),
      bodyLength: body.length,
    });
    const { method, path, requestId } = caller;
    const wantsEvents = this.#route.kind === 'stream';
    const askedAtMs = clock.monotonicMs();
    return new ServerAttempt(
      { server, method, path, headers, body, requestId, wantsEvents },
      {
        clock,
        parseResponseHead: (message) => wire.parseResponseHead(message),
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
    const use = useOf(choice, host, clock.monotonicMs(), this.#deadlineAtMs);
    peers.begin(use, this.#engineService);
  }

  /** The service by whose planners attempts are known; undefined for plain services. */
  get #engineService(): string | undefined {
    return this.admitted.figures && this.admitted.service;
  }

  /** Gives the current attempt up for a fault of `server` and tries others, if one more may be tried. */
  #abandonFor(server: BackendServer, why: string): void {
    const running = this.#current;
    if (!running || !this.#history.tryAbandon(server.id)) return;
    void this.#terminations.probe(running.id, server, why);
    this.#outcomeHandler.suspect(server, why);
    this.#isRetried = true;
    running.attempt.cancel();
  }

  /**
   * A server that the current attempt depends on has started again, and what ran there is gone, also
   * where its connection is silent. A request that may be repeated goes elsewhere at once, another
   * one ends: its caller is told that the outcome is not known.
   */
  #onServerRestarted(server: BackendServer): void {
    const running = this.#current;
    if (!running?.attempt.isConnected) return;
    const { choice, hasEvents } = running;
    const isStillNeeded = server.id === choice.server.id || !hasEvents || choice.held !== undefined;
    if (!isStillNeeded) return;
    this.#telemetry.attemptLost(running.id, server);
    this.#terminations.onRestarted(running.id, server);
    if (this.#history.tryAbandon(choice.server.id)) this.#isRetried = true;
    else this.#failureReason = 'the server that ran it has started again';
    running.attempt.cancel();
  }

  #onFrames(frames: readonly EventFrame[], head: ResponseHead): boolean {
    const running = this.#current;
    if (!running || this.answer.isDisconnected) return true;
    if (!running.hasEvents) this.#onFirstEvent(running);
    this.#telemetry.events();
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#monitor.onEvents();
    return this.#events.write(frames, head);
  }

  #onFirstEvent(running: RunningAttempt): void {
    running.hasEvents = true;
    const { id, choice, startedAtMs } = running;
    const { clock, fleet, peers } = this.parts;
    const { partMs = 0, expectedFirstMs = 0 } = choice.plan?.stream ?? {};
    const isAnnounced = partMs >= MIN_ANNOUNCED_PREFILL_MS;
    peers.onPrefillDone(id, isAnnounced ? this.#engineService : undefined);
    fleet.suspicions.clear(choice.server.id, clock.monotonicMs());
    const tookMs = clock.monotonicMs() - startedAtMs;
    this.#telemetry.firstEvent(id, choice.server, tookMs, expectedFirstMs);
  }
}
