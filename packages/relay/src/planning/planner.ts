import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import { ServerLimits, trustedCandidates, ZoneRegions } from '@poppypond/fleet';
import type {
  BackendServer,
  FleetView,
  LatePromptPolicy,
  RateLimits,
  RequestBounds,
} from '@poppypond/fleet';
import type { ActiveConfiguration } from '@poppypond/routing';
import { silentLog } from '@poppypond/telemetry';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { ServerList } from '../store/server-list.js';
import { AdmissionOrder } from './admission-order.js';
import { Admissions } from './admissions.js';
import { LimitedServers } from './limited-servers.js';
import type { LimitedService, LimitPartOf } from './limited-servers.js';
import { answerLimited, planAdmitted } from './plan-admitted.js';
import {
  allowedServers,
  engineRegions,
  inListOrder,
  planEngines,
  without,
} from './plan-engines.js';
import type { PlanOptions } from './plan-engines.js';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { permittedCall, toAttemptUse } from './planned-use.js';
import { LeastServedFirst } from './waiting-order.js';
import type { WaitingOrder } from './waiting-order.js';
import { WaitingRequests } from './waiting-requests.js';
import type { AnswerListener, RequestCheck, WaitingRequest } from './waiting-requests.js';

/** Dependencies of Planner. */
export interface PlannerParts {
  readonly clock: Clock;
  readonly activeConfiguration: ActiveConfiguration;
  readonly servers: ServerList;
  readonly fleet: FleetView;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Order in which waiting requests are planned; LeastServedFirst if undefined. */
  readonly order?: WaitingOrder;
  /**
   * Decides about long prompts whose first event would be late; the default policy if undefined.
   */
  readonly latePromptPolicy?: LatePromptPolicy | undefined;
  /** Called with each service that this host is asked to plan for as its planner. */
  readonly onServicePlanned?: (service: string) => void;
  /** Rate limits of servers for all hosts together; no server has one if undefined. */
  readonly limits?: RateLimits;
  /** What servers get at all times, from all hosts together; unbounded if undefined. */
  readonly bounds?: RequestBounds;
  /** This host's share of these limits; the whole limit if undefined. */
  readonly limitPartOf?: LimitPartOf;
  /** Receives the begin and the end of overloads; they are not logged if undefined. */
  readonly log?: Log;
  /** Counts refusals; undefined in simulations. */
  readonly metrics?: PrometheusMetrics;
  /** Regions of the availability zones; all are unknown if undefined. */
  readonly regions?: ZoneRegions;
  /**
   * Attempts of all hosts that may use an engine of a service at the same time; unbounded if
   * undefined.
   */
  readonly maxUsesOf?: (service: string, isFallback: boolean) => number;
}

const WHOLE_LIMIT_PART: LimitPartOf = () => ({ role: 'first', share: 1 });

/** Interval between planning rounds for waiting requests. */
const REPLAN_PERIOD_MS: Milliseconds = 10;
/**
 * A waiting request is dropped if its host does not repeat it for this long; hosts repeat it every
 * 300 ms.
 */
const DROPPED_AFTER_MS: Milliseconds = 1000;

/** Decides where the streams of all hosts run, and keeps the requests that must wait. */
export class Planner {
  readonly #order: WaitingOrder;
  /** Admission control of the services whose requests differ in priority. */
  readonly admissions: Admissions;
  readonly #waiting: WaitingRequests;
  readonly #limits: LimitedServers;
  readonly #regions: ZoneRegions;
  #cancelReplanning: CancelTimer | undefined;
  /** Hosts that do not know of each other must not all start with the same engines. */
  readonly #shuffled = (servers: readonly BackendServer[]) =>
    servers
      .map((server) => ({ server, place: this.parts.random() }))
      .sort((left, right) => left.place - right.place)
      .map(({ server }) => server);

  constructor(readonly parts: PlannerParts) {
    this.admissions = new Admissions({ log: silentLog, ...parts });
    const order = parts.order ?? new LeastServedFirst(parts.clock);
    this.#order = new AdmissionOrder(parts.clock, this.admissions, order);
    this.#regions = parts.regions ?? new ZoneRegions();
    this.#waiting = new WaitingRequests(this.#order);
    this.#limits = new LimitedServers(
      parts.limits ?? new ServerLimits(),
      parts.limitPartOf ?? WHOLE_LIMIT_PART,
      parts.bounds,
      ({ id }) => parts.fleet.upkeepOn(id),
    );
  }

  /** Whether this host knows the configuration, the server list and the evacuated zones. */
  get canPlan(): boolean {
    const { activeConfiguration, servers } = this.parts;
    const areServersKnown = servers.isKnown && servers.evacuatedZones.isKnown;
    return activeConfiguration.table !== undefined && areServersKnown;
  }

  /** Permits of a rate-limited server that this host granted in the last 4 s. */
  recentlyGranted(server: BackendServer): number {
    return this.#limits.recentlyGranted(server, this.parts.clock.monotonicMs());
  }

  /** Number of requests that wait here. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /**
   * Plans a request; `onAnswer` is called now, and once more after `wait`. `isFallback` is true if
   * this host plans because it found no planner, and so may not know what other hosts run.
   */
  submit(request: PlanRequest, onAnswer: AnswerListener, isFallback = false): void {
    const askedAtMs = this.parts.clock.monotonicMs();
    if (!isFallback) this.parts.onServicePlanned?.(request.service);
    const answer = this.#decide(request, isFallback, askedAtMs);
    if (answer.kind === 'wait') {
      const { rule } = answer;
      this.#waiting.set({ request, onAnswer, askedAtMs, isFallback, rule });
      this.#cancelReplanning ??= this.parts.clock.every(REPLAN_PERIOD_MS, () => {
        this.#replanWaiting();
      });
    } else {
      this.#waiting.remove(request.attemptId);
    }
    onAnswer(answer);
  }

  /** Drops a waiting or placed request that will not run by this plan. */
  withdraw(attemptId: string): void {
    this.#waiting.remove(attemptId);
    this.parts.fleet.end(attemptId);
  }

  #replanWaiting(): void {
    const nowMs = this.parts.clock.monotonicMs();
    const isAdmitted = ({ service }: PlanRequest) => this.admissions.of(service) !== undefined;
    for (const waiting of this.#waiting.nextRound(this.#precedence(nowMs), isAdmitted)) {
      const { request, askedAtMs } = waiting;
      const isDropped = nowMs - askedAtMs > DROPPED_AFTER_MS || nowMs >= request.deadlineAtMs;
      if (isDropped) this.#waiting.remove(request.attemptId);
      else this.#replan(waiting, nowMs);
    }
    if (this.#waiting.size > 0) return;
    this.#cancelReplanning?.();
    this.#cancelReplanning = undefined;
  }

  /** Callers that were refused and told to retry now precede all others. */
  #precedence(nowMs: Milliseconds): RequestCheck {
    return (request) =>
      this.#limits.isScheduledRetry(request, nowMs) ||
      (this.admissions.of(request.service)?.isPromised(request, nowMs) ?? false);
  }

  #replan(waiting: WaitingRequest, nowMs: Milliseconds): void {
    const { request, onAnswer, isFallback } = waiting;
    const answer = this.#decide(request, isFallback, nowMs);
    if (answer.kind === 'wait') {
      const { rule } = answer;
      if (rule !== waiting.rule) this.#waiting.set({ ...waiting, rule });
      return;
    }
    this.#waiting.remove(request.attemptId);
    onAnswer(answer);
  }

  #decide(request: PlanRequest, isFallback: boolean, nowMs: Milliseconds): PlanAnswer {
    this.parts.fleet.end(request.attemptId);
    const limited = this.#limits.limitsOf(request.service, isFallback, nowMs);
    const allowed = this.#allowed(request);
    if (request.permit?.isSent) {
      limited.grant(allowed);
      return { kind: 'refuse', rule: 'permitted' };
    }
    // When all hosts start together, a planner may be asked before it knows the servers.
    if (!this.canPlan && !isFallback) return { kind: 'wait', rule: 'waits_for_engine' };
    const ahead = this.#countAhead(request, limited, allowed);
    const available = limited.withPermits(allowed, ahead);
    const isAdmitted = !isFallback && allowed.length > 0 && !request.permit;
    const admission = isAdmitted ? this.admissions.of(request.service) : undefined;
    if (available.length === 0 && allowed.length > 0) {
      return answerLimited(admission, request, nowMs, (waiting) => {
        return this.#limits.answer(waiting, limited, allowed, ahead);
      });
    }
    if (request.permit) return this.#permit(request, limited, available);
    if (!admission) return this.#plan(request, limited, available, isFallback);
    const { latePromptPolicy } = this.parts;
    const waiting = this.#waiting.ofService(request.service);
    const engines = { allowed, available };
    const regionsOf = (service: string) => {
      return engineRegions(this.parts.servers, service, this.#regions);
    };
    const inputs = { admission, request, limited, ...engines, waiting, regionsOf };
    return planAdmitted(this.admissions, { ...inputs, latePromptPolicy }, (usable, options) => {
      return this.#plan(request, limited, usable, false, options);
    });
  }

  /** Servers that the request may be sent to, regardless of their rate limits. */
  #allowed(request: PlanRequest): readonly BackendServer[] {
    const allowed = allowedServers(this.parts.servers, request, this.#regions);
    const wanted = request.permit?.serverIds ?? [];
    return wanted.length === 0 ? allowed : allowed.filter(({ id }) => wanted.includes(id));
  }

  /**
   * Number of requests that precede this one if servers report rate limits: those that wait, and
   * scheduled retries.
   */
  #countAhead(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
  ): number {
    if (!this.#limits.isActive(request.service)) return 0;
    const hasPrecedence = this.#precedence(limited.nowMs);
    const waiting = this.#waiting.countAhead(request, hasPrecedence);
    if (hasPrecedence(request)) return waiting;
    return waiting + this.#limits.reservedFor(request.service, limited, servers);
  }

  /** Grants the permit for a call, a reservation command or a status query. */
  #permit(
    request: PlanRequest,
    limited: LimitedService,
    available: readonly BackendServer[],
  ): PlanAnswer {
    const avoidedIds = [...request.avoidedIds, ...this.#avoidedIds(available, limited.nowMs)];
    const trusted = without(available, avoidedIds);
    const warm = trusted.filter((server) => !limited.isCold(server));
    const usable = warm.length > 0 ? warm : trusted;
    const server = usable[Math.floor(this.parts.random() * usable.length)];
    if (!server) return { kind: 'refuse', rule: 'no_engine' };
    this.#limits.onPlaced(request, limited.nowMs);
    const stream = permittedCall(server, limited.grant([server]));
    this.#order.onPlaced(request, stream);
    return { kind: 'place', stream };
  }

  /** Ids of the servers that get no call now because they failed, if there are others. */
  #avoidedIds(available: readonly BackendServer[], nowMs: Milliseconds): readonly string[] {
    const { fleet } = this.parts;
    const candidates = available.map((server) => {
      return { server, avoidedMs: fleet.avoidedMs(server.id, nowMs) };
    });
    const trusted = fleet.avoidance.isEnabled
      ? trustedCandidates(candidates)
      : candidates.filter(({ avoidedMs }) => avoidedMs === 0);
    const trustedIds = new Set(trusted.map(({ server }) => server.id));
    return available.filter(({ id }) => !trustedIds.has(id)).map(({ id }) => id);
  }

  #plan(
    request: PlanRequest,
    limited: LimitedService,
    available: readonly BackendServer[],
    isFallback: boolean,
    options: PlanOptions = { latePromptPolicy: this.parts.latePromptPolicy },
  ): PlanAnswer {
    const { fleet, activeConfiguration } = this.parts;
    const { nowMs } = limited;
    const figures = activeConfiguration.table?.service(request.service)?.engine;
    if (!figures) return { kind: 'refuse', rule: 'no_engine' };
    const maxUses = this.parts.maxUsesOf?.(request.service, isFallback) ?? Infinity;
    const mayConnect = ({ id }: BackendServer) => fleet.usesOn(id) < maxUses;
    const connectable = available.filter(mayConnect);
    if (connectable.length === 0 && available.length > 0)
      return { kind: 'wait', rule: 'waits_for_connections' };
    const order = isFallback ? this.#shuffled : inListOrder;
    const answer = planEngines(
      { fleet, limited, nowMs, ...options, preferred: options.preferred?.filter(mayConnect) },
      figures,
      request,
      connectable,
      order,
    );
    if (answer.kind === 'wait') return answer;
    if (answer.kind === 'place') {
      this.#limits.onPlaced(request, nowMs);
      fleet.begin(toAttemptUse(request, answer.stream, nowMs));
      this.#order.onPlaced(request, answer.stream);
    }
    return answer;
  }
}
