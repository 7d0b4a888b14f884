import { delay } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { MIN_ANNOUNCED_PREFILL_MS } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import type { EventFrame } from '../backend/event-frames.js';
import { ServerAttempt } from '../backend/server-attempt.js';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import { DEADLINE_SLACK_MS } from '../planning/planned-use.js';
import type { ResponseHead, CallerHead } from '../ports.js';
import { describeSubject } from '../quarantine/part-quarantine.js';
import { contentOf } from '../quarantine/request-content.js';
import { TerminationDetector } from '../quarantine/termination-detector.js';
import { TerminationTracker } from '../quarantine/termination-tracker.js';
import { describeTerminations } from '../quarantine/shared-quarantine.js';
import type { AdmittedRequest } from './admit.js';
import { ResponseEvents } from './response-events.js';
import { AttemptHistory } from './attempt-history.js';
import { AttemptOutcomeHandler } from './attempt-outcome-handler.js';
import { useOf } from './attempt-use.js';
import { isServerFailure } from './attempt-result.js';
import { AttemptWatch, SILENT } from './attempt-watch.js';
import type { CallerResponse } from './caller-response.js';
import { prefillEnginesOf } from './choice.js';
import type { Choice } from './choice.js';
import { chooseServer } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';
import { RequestTelemetry } from './request-telemetry.js';
import { isSilentServerAtFault } from './silent-server.js';
import { FinalResponse } from './final-response.js';
import { SpeedObserver } from './speed-observer.js';
import { UnresponsiveServers } from './unresponsive-servers.js';

/** State of the current attempt. */
interface RunningAttempt {
  readonly id: string;
  readonly choice: Choice;
  readonly attempt: ServerAttempt;
  readonly startedAtMs: Milliseconds;
  readonly speed: SpeedObserver;
  hasEvents: boolean;
}

/**
 * A request whose server is reported as unresponsive for this long, while no retry is allowed, is
 * ended: its caller can repeat it, which it can't after waiting until the deadline.
 */
const DEAD_AFTER_MS: Milliseconds = 1500;
/** Delay before another server is chosen after the send gate blocked a choice. */
const RECHOOSE_DELAY_MS: Milliseconds = 10;

/** Executes one admitted request: chooses servers, runs attempts and sends one response. */
export class RequestExecution {
  readonly #route: Route;
  readonly #deadlineAtMs: Milliseconds;
  readonly #telemetry: RequestTelemetry;
  readonly #history: AttemptHistory;
  readonly #events: ResponseEvents;
  readonly #watch: AttemptWatch;
  /**
   * Quarantine state of the request; `#terminations` detects servers that terminate while running
   * it.
   */
  readonly #followed: TerminationTracker;
  readonly #terminations: TerminationDetector;
  readonly #finalResponse: FinalResponse;
  readonly #outcomeHandler: AttemptOutcomeHandler;
  /** When the caller was sent its last event; before the first, when the request arrived. */
  #lastEventAtMs: Milliseconds;
  /** When the first attempt started; undefined before. */
  #firstAttemptAtMs: Milliseconds | undefined;
  /** When the last attempt started. */
  #attemptAtMs: Milliseconds = 0;
  #current: RunningAttempt | undefined;
  /** Whether a connection to a server came up in any attempt, so that the request may have run. */
  #hasReachedServer = false;
  readonly #blockedIds = new Set<string>();
  /** Whether the current attempt was abandoned and another follows. */
  #isRetried = false;
  /**
   * Why the request fails with the current attempt, which was abandoned; undefined if it does not.
   */
  #failureReason: string | undefined;
  #hasTimedOut = false;
  #isStopped = false;
  readonly #unresponsive = new UnresponsiveServers();

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
    const { clock, connector, memory, servers } = parts;
    const onProbed = this.#telemetry.serverProbed.bind(this.#telemetry);
    const content = contentOf(caller, admitted.workspace, body);
    const { service } = admitted;
    const { sharedParts } = caller;
    this.#followed = new TerminationTracker(parts, { service, content, sharedParts });
    this.#terminations = new TerminationDetector(
      { clock, connector, servers, memory, onProbed },
      this.#followed,
    );
    this.#finalResponse = new FinalResponse({
      answer,
      telemetry: this.#telemetry,
      history: this.#history,
      events: this.#events,
      hasTimedOut: () => this.#hasTimedOut,
      isStopped: () => this.#isStopped || this.#isTooLateToStart(),
      onServed: () => {
        parts.stop.recordServed(this.#route.name, this.#firstAttemptAtMs ?? arrivedAtMs);
      },
      retryDelayMs: () => parts.gate.retryDelayMs(admitted.service, admitted.allowedRegions),
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
    this.#watch = new AttemptWatch({
      clock,
      memory,
      servers,
      route: this.#route,
      mayRepeat: this.#history.mayRepeat,
      isConnectionLost: (server) =>
        this.#current?.attempt.isDirect === true && parts.reachability.isSilent(server),
      onUnresponsive: (server, why) => this.#abandonFor(server, why),
      onRestarted: (server) => {
        this.#onServerRestarted(server);
      },
    });
  }

  /** Serves the request; resolves when its response is finished. */
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
    this.answer.onRoom(() => {
      this.#current?.attempt.resume();
    });
    if (this.parts.hostBudget.isEnabled) {
      this.answer.limitReading(this.#route.timeoutMs, () => {
        this.#telemetry.callerTooSlow(this.answer.heldBytes, 'read nothing for the time limit');
      });
    }
    try {
      await this.#tryServers();
    } catch (error) {
      this.#finalResponse.fail(error, this.#hasReachedServer);
    } finally {
      cancelTimeout();
      this.#watch.end();
    }
  }

  /** Ends the request, because the host stops now. */
  endForStop(): void {
    const { sent } = this.#history;
    this.#telemetry.unfinishedAtStop(this.#current ? sent + 1 : sent, this.answer.hasStarted);
    this.#isStopped = true;
    this.#current?.attempt.cancel();
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
        this.#abandonFor(engine, 'no answer to a status query');
      },
    };
    for (;;) {
      if (this.#refuseQuarantined()) return;
      const outcome = await chooseServer(inputs);
      if (outcome.kind === 'over') return this.#finalResponse.finishUnserved();
      if (outcome.kind === 'refused')
        return this.#finalResponse.giveUp(outcome.why, outcome.retryAfterMs);
      await parts.confirmedZones.wait(() => this.#isFinished());
      if (this.#isFinished()) {
        this.#releaseChoice(outcome.choice);
        return this.#finalResponse.finishUnserved();
      }
      // The request may have been quarantined while it waited for a slot.
      if (this.#refuseQuarantined()) return this.#releaseChoice(outcome.choice);
      if (this.#isBlocked(outcome.choice)) {
        await delay(parts.clock, RECHOOSE_DELAY_MS);
        continue;
      }
      const end = await this.#attempt(outcome.choice);
      if (await this.#handleOutcome(end, outcome.choice)) return;
    }
  }

  /**
   * Whether the send gate blocks the choice because of a notice received meanwhile; the choice is
   * then released.
   */
  #isBlocked(choice: Choice): boolean {
    const { allowedRegions } = this.admitted;
    const block = this.parts.gate.admitAttempt({ ...choice, allowedRegions });
    if (!block) return false;
    this.#telemetry.sendBlocked(block.id, block.why);
    this.#blockedIds.add(block.id);
    this.#releaseChoice(choice);
    return true;
  }

  /** Releases the slot and the memory of a choice that is not used. */
  #releaseChoice({ attemptId, held }: Choice): void {
    this.parts.peers.end(attemptId, this.#engineService);
    void held?.release();
  }

  /**
   * Refuses a quarantined request, whoever sent it and however often: it would terminate the next
   * server too, and with it all requests that run there. Returns true if the request was refused.
   */
  #refuseQuarantined(): boolean {
    const held = this.#followed.checkHold();
    if (!held) return false;
    const ended = describeTerminations(held.entry, this.parts.clock.monotonicMs());
    this.#finalResponse.giveUp(
      `servers terminated while running ${describeSubject(held.entry.content)}: ${ended}`,
      held.forMs,
      'quarantined',
    );
    return true;
  }

  #leftMs(): Milliseconds {
    return this.#deadlineAtMs - this.parts.clock.monotonicMs();
  }

  #isFinished(): boolean {
    const isEnded = this.answer.isDisconnected || this.#hasTimedOut || this.#leftMs() <= 0;
    return isEnded || this.#isStopped || this.#isTooLateToStart();
  }

  /** Whether the host stops before a server that was sent the request now would have served it. */
  #isTooLateToStart(): boolean {
    if (this.#hasReachedServer) return false;
    return !this.parts.stop.mayStart(this.#route.name, this.#leftMs(), this.#history.mayRepeat);
  }

  /** Runs one attempt; an exception releases all that the attempt holds. */
  async #attempt(choice: Choice): Promise<AttemptOutcome> {
    try {
      return await this.#runAttempt(choice);
    } catch (error) {
      this.#hasReachedServer ||= this.#current?.attempt.isConnected ?? false;
      this.#current?.attempt.cancel();
      this.#current = undefined;
      this.#watch.end();
      this.parts.gate.onAttemptEnd(choice.server, choice.attemptId);
      this.#releaseChoice(choice);
      throw error;
    }
  }

  async #runAttempt(choice: Choice): Promise<AttemptOutcome> {
    const id = choice.attemptId;
    const timeLeftMs = Math.max(1, Math.floor(this.#leftMs()));
    this.#telemetry.placed(id, choice.server, choice.plan, timeLeftMs);
    this.#followed.begin(id);
    this.#announce(choice);
    const { clock, speedNotices } = this.parts;
    const startedAtMs = clock.monotonicMs();
    const speed = new SpeedObserver(speedNotices, clock, choice, this.#route.name);
    this.#attemptAtMs = startedAtMs;
    this.#firstAttemptAtMs ??= startedAtMs;
    const attempt = this.#open(choice, timeLeftMs);
    this.#current = { id, choice, attempt, startedAtMs, speed, hasEvents: false };
    this.#watch.begin(choice, this.#leftMs());
    const end = await attempt.done;
    this.#hasReachedServer ||= attempt.isConnected;
    speed.onEnd(end);
    this.#current = undefined;
    this.#watch.end();
    this.parts.gate.onAttemptEnd(choice.server, id);
    this.#recordResult(choice, end);
    void choice.held?.release();
    this.#telemetry.attemptEnded(end.kind);
    return end;
  }

  /** Reports the end of an attempt and what it tells about its server. */
  #recordResult({ attemptId, server }: Choice, end: AttemptOutcome): void {
    const { fleet, gate, peers } = this.parts;
    const isFailed = isServerFailure(end);
    const engineService = this.#engineService;
    peers.end(attemptId, engineService, isFailed === false);
    if (!fleet.avoidance.isEnabled || engineService !== undefined || isFailed === undefined) return;
    // A server that reports a limit, or is cold, rejects what is above it.
    if (isFailed && end.kind === 'whole' && gate.isLimited(server)) return;
    const forMs = peers.recordResult({ serverId: server.id, service: server.service, isFailed });
    if (forMs !== undefined) this.#telemetry.serverSuspected(server, 'failure rate', forMs);
  }

  /** Handles the outcome of an attempt; returns true if the response is finished. */
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
        connector: this.parts.connector,
        parseResponseHead: (message) => wire.parseResponseHead(message),
        onHead: ({ word, isNotExecuted }) => {
          this.parts.notices.recordNotice(server, word, askedAtMs);
          if (word.backoffMs === undefined && !isNotExecuted)
            this.parts.gate.onAnswered(server, choice.attemptId);
        },
        onFrames: (frames, head) => this.#onFrames(frames, head),
        hostBudget: this.parts.hostBudget,
      },
    );
  }

  #announce(choice: Choice): void {
    const { clock, host, peers } = this.parts;
    const use = useOf(choice, host, clock.monotonicMs(), this.#deadlineAtMs);
    peers.begin(use, this.#engineService);
  }

  /** The service whose planners are notified of attempts; undefined for plain services. */
  get #engineService(): string | undefined {
    return this.admitted.figures && this.admitted.service;
  }

  /**
   * Abandons the current attempt for a fault of `server` and tries another server, if a retry is
   * allowed. If none is, ends the request once the server has stayed unresponsive for long enough.
   * Returns whether the attempt ends.
   */
  #abandonFor(server: BackendServer, why: string): boolean {
    const running = this.#current;
    if (!running) return true;
    // The server is silent because this host does not read from it.
    if (this.parts.hostBudget.isEnabled && running.attempt.isPaused) return false;
    if (!this.#history.tryAbandon(server.id)) return this.#failIfDead(running, server, why);
    void this.#terminations.probe(running.id, server, why);
    if (this.parts.fleet.avoidance.isEnabled && why === SILENT)
      void this.#suspectIfAtFault(server, running.startedAtMs);
    else this.#outcomeHandler.suspect(server, why);
    this.#isRetried = true;
    running.attempt.cancel();
    return true;
  }

  /** Suspects a silent server, unless a new connection to it works: then only the old one failed. */
  async #suspectIfAtFault(server: BackendServer, startedAtMs: Milliseconds): Promise<void> {
    const isEngine = this.#engineService !== undefined;
    const isAtFault = await isSilentServerAtFault(this.parts, { server, isEngine, startedAtMs });
    const isPathBroken = this.parts.reachability.isBroken(server);
    if (isAtFault && !isPathBroken) this.#outcomeHandler.suspect(server, SILENT);
    else this.#telemetry.connectionSilent(server);
  }

  #failIfDead(running: RunningAttempt, server: BackendServer, why: string): boolean {
    // A caller gains nothing from the early end of a request that it may not repeat.
    if (!this.#history.mayRepeat || running.attempt.isPaused) return false;
    const nowMs = this.parts.clock.monotonicMs();
    const lastEventAtMs = this.#lastEventAtMs;
    const unresponsiveMs = this.#unresponsive.report(server.id, running.id, nowMs, lastEventAtMs);
    if (unresponsiveMs < DEAD_AFTER_MS) return false;
    this.#failureReason = `a server of the request does not respond (${why}), and no retry is allowed`;
    running.attempt.cancel();
    return true;
  }

  /**
   * Handles the restart of a server that the current attempt depends on: its work is lost, even if
   * its connection shows no error. A request that may be repeated is retried at once; any other
   * fails with an unknown outcome.
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
    else this.#failureReason = 'the server that ran the request has restarted';
    running.attempt.cancel();
  }

  #onFrames(frames: readonly EventFrame[], head: ResponseHead): boolean {
    const running = this.#current;
    if (!running || this.answer.isDisconnected) return true;
    if (!running.hasEvents) this.#onFirstEvent(running);
    running.speed.onEvents(frames.length, running.attempt.isPaused);
    this.#telemetry.events();
    this.#lastEventAtMs = this.parts.clock.monotonicMs();
    this.#watch.onEvents();
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
