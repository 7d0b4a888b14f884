import type { Milliseconds } from '@poppypond/core';
import {
  callerIdleTimeoutMs,
  FleetView,
  prefillComputeMs,
  RecentRejections,
  ServerSpeeds,
} from '@poppypond/fleet';
import type { BackendServer, LatePromptPolicy } from '@poppypond/fleet';
import { seededRandom } from '@poppypond/load';
import { Planner, ServerList } from '@poppypond/relay/planning';
import type { PlannedStream, PlanRefusal, PlanRequest } from '@poppypond/relay/planning';
import { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import { engineIdOf } from './deployment.js';
import type { Deployment, Scenario } from './deployment.js';
import { EmulatedEngine } from './emulated-engine.js';
import { EngineFaults } from './engine-faults.js';
import { MAX_ATTEMPTS, routeOf, SERVICE } from './kind-route.js';
import { EngineNotices } from './engine-notices.js';
import { ObservingHosts } from './observing-hosts.js';
import { retryDelayMs, servedOutcome, toPlanRequest } from './open-request.js';
import type { OpenRequest } from './open-request.js';
import type { Outcome, OutcomeKind } from './outcome.js';
import { generateArrivals } from './traffic.js';
import type { Arrival } from './traffic.js';
import { VirtualClock } from './virtual-clock.js';

const ZONE = 'zone';
/** One-way network delay between a host and the planner, and between a host and an engine. */
const HOP_MS: Milliseconds = 1;
/** Period at which a host submits a waiting request to its planner again. */
const RESUBMIT_PERIOD_MS: Milliseconds = 300;
/** Period of the status queries to engines that prefill parts of a prompt, which state their pace. */
const STATUS_PERIOD_MS: Milliseconds = 800;
/** Number of hosts that share the requests and observe the engines. */
const HOSTS = 12;
/** Time from a kill of all hosts until they serve again. */
const RESTART_MS: Milliseconds = 600;
/** Time after the end of arrivals in which open requests may still end. */
const DRAIN_MS: Milliseconds = 16_000;
/** Share of its remaining time up to which a refused caller waits for its retry. */
const HONORED_SHARE = 1 / 3;
/** Number of attempts of one request that may reach no engine. */
const MAX_UNDELIVERED = 4;
/** Time from the start of an engine until the server list shows it. */
const LIST_DELAY_MS: Milliseconds = 1800;

/** Simulates one scenario of a deployment in virtual time, with the planner of the relay. */
export class Simulation {
  readonly #clock = new VirtualClock();
  readonly #engines = new Map<string, EmulatedEngine>();
  readonly #openRequests = new Map<string, OpenRequest>();
  readonly #outcomes: Outcome[] = [];
  readonly #random: () => number;
  readonly #activeConfiguration = new ActiveConfiguration();
  readonly #servers: ServerList;
  /** Notices that the engines report. */
  readonly notices: EngineNotices;
  readonly #faults: EngineFaults;
  #recentRejections = new RecentRejections();
  #fleet: FleetView;
  #observers: ObservingHosts;
  #planner: Planner;
  #incarnation = 0;
  #areHostsDown = false;

  constructor(
    readonly deployment: Deployment,
    readonly scenario: Scenario,
    seed: number,
    readonly latePromptPolicy?: LatePromptPolicy,
  ) {
    this.#random = seededRandom(seed);
    this.#servers = new ServerList(this.#clock, silentLog);
    const listed = this.#configure();
    const { notices } = scenario;
    this.notices = new EngineNotices(this.#clock, this.#servers, listed, notices, this.#random);
    this.#fleet = this.#makeFleet();
    this.#observers = this.#makeObservers();
    this.#planner = this.#makePlanner();
    this.#faults = new EngineFaults(this.#clock, scenario.faults ?? [], this.#random);
  }

  /** Runs the whole scenario. Returns the outcome of each request. */
  run(): readonly Outcome[] {
    for (const arrival of generateArrivals(this.deployment, this.scenario, this.#random)) {
      this.#clock.after(arrival.atMs, () => {
        this.#onArrival(arrival);
      });
    }
    this.#scheduleSlowPeriods();
    for (const atMs of this.scenario.restartsAtMs) {
      this.#clock.after(atMs, () => {
        this.#killHosts();
      });
    }
    this.#faults.schedule(
      (engineId) => {
        this.#stopEngine(engineId);
      },
      (engineId) => {
        this.#clock.after(LIST_DELAY_MS, () => {
          this.#fleet.avoidance.onRestarted(engineId, this.#clock.monotonicMs(), true);
        });
      },
    );
    this.#clock.runUntil(this.scenario.durationMs + DRAIN_MS);
    for (const request of [...this.#openRequests.values()]) this.#finish(request, 'open');
    return this.#outcomes;
  }

  #configure(): readonly BackendServer[] {
    const { engines, figures, kinds } = this.deployment;
    this.#activeConfiguration.apply({
      version: 1,
      routes: kinds.map(routeOf),
      services: [{ name: SERVICE, engine: figures }],
      requiresKeys: false,
      workspaces: [],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
    const listed: BackendServer[] = [];
    for (let index = 0; index < engines; index += 1) {
      const id = engineIdOf(index);
      const place = { service: SERVICE, address: id, port: 1, availabilityZone: ZONE };
      listed.push({ id, ...place, slots: figures.slots, isDraining: false });
      this.#engines.set(id, new EmulatedEngine(this.#clock, figures));
    }
    this.#servers.replace(listed, 0, 1);
    return listed;
  }

  #makeFleet(): FleetView {
    const { observesSpeeds = false, observesFailures = false } = this.scenario;
    return new FleetView(new ServerSpeeds(observesSpeeds), observesFailures);
  }

  #makeObservers(): ObservingHosts {
    const parts = {
      clock: this.#clock,
      find: (id: string) => this.#servers.find(id),
      paceOf: (id: string) => this.#engines.get(id)?.slowdown ?? 1,
    };
    return new ObservingHosts(parts, this.#fleet.speeds, HOSTS);
  }

  #scheduleSlowPeriods(): void {
    for (const { engineId, fromMs, toMs, factor } of this.scenario.slowPeriods ?? []) {
      const engine = this.#engines.get(engineId);
      if (!engine) continue;
      this.#clock.after(fromMs, () => {
        engine.slowdown = factor;
      });
      this.#clock.after(toMs, () => {
        engine.slowdown = 1;
      });
    }
  }

  #makePlanner(): Planner {
    return new Planner({
      clock: this.#clock,
      activeConfiguration: this.#activeConfiguration,
      servers: this.#servers,
      fleet: this.#fleet,
      random: this.#random,
      latePromptPolicy: this.latePromptPolicy,
      limits: this.notices.limits,
    });
  }

  #onArrival(arrival: Arrival): void {
    const request: OpenRequest = {
      arrival,
      incarnation: this.#incarnation,
      firstEventMs: undefined,
      lastEventAtMs: this.#clock.monotonicMs(),
      hasLateGap: false,
      observed: undefined,
      engineIds: [],
      rejectedBy: new Set(),
      undelivered: 0,
      events: 0,
      refusals: 0,
      sentAtMs: this.#clock.monotonicMs(),
      cancelIdleTimeout: () => undefined,
    };
    this.#openRequests.set(arrival.requestId, request);
    this.#restartIdleTimeout(request);
    this.#clock.after(arrival.kind.timeoutMs, () => {
      this.#finish(request, 'left');
    });
    if (!this.#areHostsDown) this.#requestPlan(request);
  }

  #requestPlan(request: OpenRequest): void {
    const incarnation = this.#incarnation;
    request.incarnation = incarnation;
    this.#clock.after(HOP_MS, () => {
      if (this.#isStale(request, incarnation)) return;
      this.#submit(request, incarnation);
    });
  }

  /** Submits the request to the planner, and again every `RESUBMIT_PERIOD_MS` while it waits. */
  #submit(request: OpenRequest, incarnation: number): void {
    this.#planner.submit(this.#planRequestFor(request), (answer) => {
      if (this.#isStale(request, incarnation)) return;
      if (answer.kind === 'place') this.#startAttempt(request, answer.stream);
      if (answer.kind === 'refuse') this.#onRefused(request, answer);
    });
    this.#clock.after(RESUBMIT_PERIOD_MS, () => {
      if (!this.#isStale(request, incarnation) && request.engineIds.length === 0)
        this.#submit(request, incarnation);
    });
  }

  /** Retries once at the given time if the caller honors it, and finishes the request otherwise. */
  #onRefused(request: OpenRequest, refusal: PlanRefusal): void {
    const { kind, atMs } = request.arrival;
    request.refusals += 1;
    const leftMs = atMs + kind.timeoutMs - this.#clock.monotonicMs();
    const delayMs = retryDelayMs(refusal, kind);
    const isRetried = this.scenario.retriesRefusals && request.refusals === 1;
    if (!isRetried || delayMs > leftMs * HONORED_SHARE) {
      this.#finish(request, 'refused');
      return;
    }
    request.incarnation = -1;
    const incarnation = this.#incarnation;
    request.cancelIdleTimeout();
    this.#clock.after(delayMs, () => {
      if (this.#incarnation !== incarnation) return;
      if (this.#openRequests.get(request.arrival.requestId) !== request) return;
      this.#restartIdleTimeout(request);
      request.lastEventAtMs = this.#clock.monotonicMs();
      request.sentAtMs = request.lastEventAtMs;
      this.#requestPlan(request);
    });
  }

  /** Engines that a request avoids: once it was rejected, all that rejected any lately. */
  #avoidedIds({ rejectedBy }: OpenRequest): readonly string[] {
    if (rejectedBy.size === 0) return [];
    return [...rejectedBy, ...this.#recentRejections.recentIds(this.#clock.monotonicMs())];
  }

  #planRequestFor(request: OpenRequest): PlanRequest {
    return toPlanRequest(request, this.deployment.figures, {
      avoidedIds: this.#avoidedIds(request),
      excludedIds: this.notices.excludedIds(),
    });
  }

  #isStale(request: OpenRequest, incarnation: number): boolean {
    return (
      request.incarnation !== incarnation ||
      this.#openRequests.get(request.arrival.requestId) !== request
    );
  }

  /** Sends the stream to the engines of its plan. Decoding starts when all parts are prefilled. */
  #startAttempt(request: OpenRequest, stream: PlannedStream): void {
    const { writerId, readerIds } = stream;
    const { requestId, promptTokens } = request.arrival;
    const prefillMs = prefillComputeMs(this.deployment.figures, promptTokens);
    const incarnation = request.incarnation;
    const engineIds = [writerId, ...readerIds];
    request.engineIds = engineIds;
    request.observed = stream.usual && this.#observers.observe(requestId, engineIds, stream.usual);
    if (stream.usual && readerIds.length > 0) this.#queryStatus(request, incarnation, engineIds);
    let remainingParts = engineIds.length;
    const onPrefilled = () => {
      remainingParts -= 1;
      if (remainingParts === 0) this.#startDecoding(request, writerId, incarnation);
    };
    this.#clock.after(2 * HOP_MS, () => {
      if (this.#isStale(request, incarnation) || request.engineIds !== engineIds) return;
      if (this.notices.rejectsAttempt(writerId, requestId)) {
        this.#retry(request, writerId);
        return;
      }
      if (this.#isFailedBy(request, writerId, readerIds)) return;
      for (const id of engineIds) {
        this.#engines.get(id)?.read({
          streamId: requestId,
          tokens: promptTokens / engineIds.length,
          computeMs: prefillMs / engineIds.length,
          isForOtherEngine: id !== writerId,
          onPrefilled,
        });
      }
    });
  }

  /** Observes the pace that engines state, until the first event of their stream. */
  #queryStatus(request: OpenRequest, incarnation: number, engineIds: readonly string[]): void {
    this.#clock.after(STATUS_PERIOD_MS, () => {
      if (this.#isStale(request, incarnation) || request.firstEventMs !== undefined) return;
      for (const id of engineIds) this.#observers.readStatus(request.arrival.requestId, id);
      this.#queryStatus(request, incarnation, engineIds);
    });
  }

  /** Whether an engine of the attempt does not serve it; the request is then retried. */
  #isFailedBy(request: OpenRequest, writerId: string, readerIds: readonly string[]): boolean {
    const fate = this.#faults.fateOf(writerId);
    const lost = readerIds.find((id) => this.#faults.fateOf(id) === 'unreachable');
    if (fate === 'served' && lost === undefined) return false;
    const { incarnation } = request;
    this.#clock.after(HOP_MS, () => {
      if (this.#isStale(request, incarnation)) return;
      const failedId = fate === 'served' && lost !== undefined ? lost : writerId;
      const nowMs = this.#clock.monotonicMs();
      if (fate === 'rejected') this.#recentRejections.record(failedId, nowMs);
      else this.#fleet.avoidance.onFailed(failedId, nowMs, true);
      this.#onResult(failedId, true);
      if (fate === 'unreachable' && request.undelivered < MAX_UNDELIVERED) {
        request.undelivered += 1;
        this.#replan(request);
      } else this.#retry(request, failedId);
    });
    return true;
  }

  #onResult(serverId: string, isFailed: boolean): void {
    const { avoidance } = this.#fleet;
    const nowMs = this.#clock.monotonicMs();
    if (this.scenario.judgesFailureRates)
      avoidance.onResult({ serverId, service: SERVICE, isFailed }, nowMs);
    else if (!isFailed) avoidance.onServed(serverId, nowMs);
  }

  /** Drops all work of an engine that stops; its requests are sent to other engines. */
  #stopEngine(engineId: string): void {
    this.#engines.get(engineId)?.clear();
    const nowMs = this.#clock.monotonicMs();
    for (const request of [...this.#openRequests.values()]) {
      if (!request.engineIds.includes(engineId)) continue;
      const isPrefilled = request.firstEventMs !== undefined;
      if (isPrefilled && request.engineIds[0] !== engineId) continue;
      this.#fleet.avoidance.onFailed(engineId, nowMs, true);
      this.#retry(request, engineId);
    }
  }

  /**
   * Sends a request that an engine rejected to another engine, or refuses it after `MAX_ATTEMPTS`.
   */
  #retry(request: OpenRequest, engineId: string): void {
    request.rejectedBy.add(engineId);
    if (request.rejectedBy.size >= MAX_ATTEMPTS) {
      this.#finish(request, 'refused');
      return;
    }
    this.#replan(request);
  }

  #replan(request: OpenRequest): void {
    const { requestId } = request.arrival;
    for (const id of request.engineIds) this.#engines.get(id)?.cancel(requestId);
    this.#planner.withdraw(requestId);
    request.engineIds = [];
    this.#requestPlan(request);
  }

  #startDecoding(request: OpenRequest, writerId: string, incarnation: number): void {
    const { requestId, promptTokens, events } = request.arrival;
    this.#engines.get(writerId)?.decode({
      streamId: requestId,
      contextTokens: promptTokens + (events * this.deployment.figures.stepsPerPass) / 2,
      events: Math.max(1, events - request.events),
      onEvent: (isLast) => {
        this.#clock.after(HOP_MS, () => {
          if (this.#isStale(request, incarnation) || request.engineIds[0] !== writerId) return;
          this.notices.onEvents(writerId, requestId);
          this.#onEvent(request, isLast);
        });
      },
    });
  }

  #onEvent(request: OpenRequest, isLast: boolean): void {
    const nowMs = this.#clock.monotonicMs();
    const { kind, atMs, requestId } = request.arrival;
    request.observed?.onEvents(1, false, nowMs);
    if (request.firstEventMs === undefined) {
      request.firstEventMs = nowMs - atMs;
      this.#fleet.onPrefillDone(requestId);
    } else if (nowMs - request.lastEventAtMs > kind.gapAimMs) {
      request.hasLateGap = true;
    }
    request.lastEventAtMs = nowMs;
    request.events += 1;
    if (isLast) this.#onServed(request);
    if (isLast) this.#finish(request, servedOutcome(request));
    else this.#restartIdleTimeout(request);
  }

  #onServed({ engineIds }: OpenRequest): void {
    const [serverId] = engineIds;
    if (serverId === undefined) return;
    this.#onResult(serverId, false);
  }

  #restartIdleTimeout(request: OpenRequest): void {
    const { aimMs, gapAimMs } = request.arrival.kind;
    request.cancelIdleTimeout();
    request.cancelIdleTimeout = this.#clock.after(callerIdleTimeoutMs(aimMs, gapAimMs), () => {
      this.#finish(request, 'left');
    });
  }

  #finish(request: OpenRequest, kind: OutcomeKind): void {
    const { requestId } = request.arrival;
    if (this.#openRequests.get(requestId) !== request) return;
    this.#openRequests.delete(requestId);
    request.cancelIdleTimeout();
    for (const id of request.engineIds) this.#engines.get(id)?.cancel(requestId);
    this.#planner.withdraw(requestId);
    const { arrival, firstEventMs, engineIds, refusals } = request;
    const queuedMs = engineIds.length === 0 ? this.#clock.monotonicMs() - arrival.atMs : 0;
    this.#outcomes.push({ arrival, kind, firstEventMs, queuedMs, refusals });
  }

  /**
   * Kills all hosts at once. They restart without any state, and callers send their open requests
   * again.
   */
  #killHosts(): void {
    this.#incarnation += 1;
    this.#areHostsDown = true;
    for (const engine of this.#engines.values()) engine.clear();
    for (const request of this.#openRequests.values()) request.incarnation = -1;
    this.#clock.after(RESTART_MS, () => {
      this.#areHostsDown = false;
      this.#fleet = this.#makeFleet();
      this.#observers = this.#makeObservers();
      this.#recentRejections = new RecentRejections();
      this.#planner = this.#makePlanner();
      for (const request of this.#openRequests.values()) this.#restartRequest(request);
    });
  }

  /**
   * Sends a request again from the start; events that its caller received before the kill are
   * discarded.
   */
  #restartRequest(request: OpenRequest): void {
    request.firstEventMs = undefined;
    request.hasLateGap = false;
    request.events = 0;
    request.engineIds = [];
    request.lastEventAtMs = this.#clock.monotonicMs();
    this.#requestPlan(request);
  }
}
