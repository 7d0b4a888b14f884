import type { Milliseconds } from '@poppypond/core';
import { AdmissionControl, DecayedRate, engineTimeMs } from '@poppypond/fleet';
import type {
  AdmissionDecision,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionState,
  PriorityDemand,
} from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';
import { admittedEngines, hasFreeRegion, overlapOf } from './admission-windows.js';
import type { AdmissionMoment, AdmittedEngines } from './admission-windows.js';
import { AdmissionRetries, identityOf } from './admission-retries.js';
import type { KnownRetry } from './admission-retries.js';
import type { OverloadLevel, PlanAnswer, PlanRefusal, PlanRequest } from './plan-request.js';

/** What a standby needs to go on with the admission of a service. */
export interface ServiceAdmissionState extends AdmissionState {
  readonly retries: readonly KnownRetry[];
}

/**
 * Hosts refuse by themselves only above this many refusals a second of one priority. Each takes the
 * planner 0.08 ms beside the messages, so that those below it take less than a hundredth of a core.
 */
const FLOOD_PER_SECOND = 50;
const FLOOD_HALF_LIFE_MS: Milliseconds = 500;
/** For how long hosts refuse by themselves after a refusal. */
const LEVEL_MS: Milliseconds = 200;
/** Scheduled retries that a level names; there is no level while more are due. */
const MAX_EXCEPT = 64;
/** The state of another planner is ignored for this long after this host has decided itself. */
const OWN_STATE_MS: Milliseconds = 2000;
const MS_PER_SECOND = 1000;
/** Length of the ends of content ids that a level names. */
const CONTENT_END_LENGTH = 8;

/** The part of a content id by which hosts recognize scheduled retries. */
export function contentEnd(content: string): string {
  return content.slice(-CONTENT_END_LENGTH);
}

/** Admission of the requests of one service whose priorities differ. */
export class ServiceAdmission {
  #control = new AdmissionControl();
  readonly #retries = new AdmissionRetries();
  readonly #refusedByPriority = new Map<number, DecayedRate>();
  #lastDecidedMs = Number.NEGATIVE_INFINITY;

  /** `figures`: of the service's engines, replaced with each configuration. */
  constructor(public figures: EngineFigures) {}

  /** Demand, grants and at most `maxRetries` of the refused callers, for the standby. */
  state(nowMs: Milliseconds, maxRetries = Infinity): ServiceAdmissionState {
    const retries = this.#retries.known(nowMs).slice(0, maxRetries);
    return { ...this.#control.state(nowMs), retries };
  }

  /**
   * Takes over the state of the first planner. If this host has just planned itself, it only adds the
   * refused callers: a planner that was silent for a moment is asked again, and may be lost then.
   */
  restore(state: ServiceAdmissionState, nowMs: Milliseconds): void {
    if (nowMs - this.#lastDecidedMs < OWN_STATE_MS) {
      this.#retries.add(state.retries, nowMs);
      return;
    }
    this.#control = new AdmissionControl();
    this.#control.restore(state, nowMs);
    this.#retries.restore(state.retries, nowMs);
  }

  /** Demand of all priorities, the most urgent first. */
  demands(nowMs: Milliseconds): readonly PriorityDemand[] {
    return this.#control.demands(nowMs);
  }

  /** Mean engine time of a request. */
  meanEngineMs(nowMs: Milliseconds): Milliseconds {
    const demands = this.#control.demands(nowMs);
    const engineMs = demands.reduce((sum, demand) => sum + demand.engineMsPerSecond, 0);
    const requests = demands.reduce((sum, demand) => sum + demand.requestsPerSecond, 0);
    return requests > 0 ? engineMs / requests : 0;
  }

  /** Whether requests that are limited to regions ask for engines. */
  isRegional(nowMs: Milliseconds): boolean {
    return this.#control.demand.isRegional(nowMs);
  }

  /** Whether requests may get in each other's way. */
  isScarce(engines: number, nowMs: Milliseconds): boolean {
    return this.#control.isScarce(engines, nowMs);
  }

  /** Whether a request is not refused: see `AdmissionRetries.isPromised`. */
  isPromised(request: PlanRequest, nowMs: Milliseconds): boolean {
    return this.#retries.isPromised(request, nowMs);
  }

  /** Counts a request and decides whether engines may be planned for it now. */
  decide(request: PlanRequest, moment: AdmissionMoment): AdmissionDecision {
    const { engines, nowMs, waiting } = moment;
    this.#lastDecidedMs = nowMs;
    const admitted = this.#toAdmission(request, nowMs);
    if (admitted.isScheduledRetry) this.#retries.onReturned(request, nowMs);
    this.#control.record(admitted, nowMs, request.refusedLocally);
    const situation = {
      engines,
      overlap: overlapOf(request, moment),
      hasFreeRegion: hasFreeRegion(this.#control, moment),
      waiting: waiting.map((other) => this.#toAdmission(other, nowMs)),
      retriesWithin: (forMs: Milliseconds) =>
        this.#retries.reservedWithin(request.priority, forMs, nowMs),
    };
    return this.#control.decide(admitted, situation, nowMs);
  }

  /** The engines that a request may use, of the available ones. */
  enginesFor(request: PlanRequest, moment: AdmissionMoment): AdmittedEngines {
    return admittedEngines(this.#control, request.priority, moment);
  }

  /** Refuses a request with the time at which its caller is served, if that is in time for it. */
  refuse(request: PlanRequest, refusal: AdmissionRefusal, moment: AdmissionMoment): PlanRefusal {
    const { nowMs } = moment;
    const { priority } = request;
    const { expectedWaitMs, perSecond } = refusal;
    const expectedAtMs = nowMs + expectedWaitMs;
    const scheduled = this.#retries.schedule(request, { expectedAtMs, perSecond }, nowMs);
    const { retryAfterMs, isScheduled } = scheduled;
    const overload = isScheduled ? undefined : this.#level(priority, retryAfterMs, nowMs);
    const detail = this.#describe(request, isScheduled, retryAfterMs, moment);
    return { kind: 'refuse', rule: 'overloaded', retryAfterMs, detail, overload };
  }

  /**
   * Counts a request that no engine may be sent because of rate limits, and expects its caller at
   * the time that `answer` gives.
   */
  onLimited(request: PlanRequest, answer: PlanAnswer, nowMs: Milliseconds): void {
    const admitted = this.#toAdmission(request, nowMs);
    this.#control.record(admitted, nowMs, request.refusedLocally);
    if (admitted.isScheduledRetry) this.#retries.onReturned(request, nowMs);
    if (answer.kind !== 'refuse' || answer.retryAfterMs === undefined) return;
    this.#retries.expect(request, answer.retryAfterMs, nowMs);
  }

  /**
   * Called if an admitted request has waited until it cannot start in time for its caller any more.
   * It is not refused if its caller returns.
   */
  onWaitedInVain(request: PlanRequest, nowMs: Milliseconds): void {
    this.#retries.onReturned(request, nowMs);
  }

  /** Records that a request was given engines. */
  onPlaced(request: PlanRequest, nowMs: Milliseconds): void {
    this.#control.onPlaced(this.#toAdmission(request, nowMs), nowMs);
    this.#retries.onPlaced(request, nowMs);
  }

  /** Returns waiting requests in the order in which they are served. */
  inOrder<Item extends { readonly request: PlanRequest }>(
    items: readonly Item[],
    nowMs: Milliseconds,
  ): readonly Item[] {
    const admissions = items.map((item) => {
      return { ...this.#toAdmission(item.request, nowMs), item };
    });
    return this.#control.inOrder(admissions, nowMs).map(({ item }) => item);
  }

  /** The level for hosts while requests of a priority flood in and no retry can be scheduled. */
  #level(
    priority: number,
    retryAfterMs: Milliseconds,
    nowMs: Milliseconds,
  ): OverloadLevel | undefined {
    const refused = this.#refusedByPriority.get(priority) ?? new DecayedRate(FLOOD_HALF_LIFE_MS);
    this.#refusedByPriority.set(priority, refused);
    refused.add(1, nowMs);
    if (refused.perSecond(nowMs) < FLOOD_PER_SECOND) return undefined;
    const due = this.#retries.dueWithin(priority, LEVEL_MS, nowMs);
    if (due.length > MAX_EXCEPT) return undefined;
    return { forMs: LEVEL_MS, retryAfterMs, exceptContents: due.map(contentEnd) };
  }

  #describe(
    request: PlanRequest,
    isScheduled: boolean,
    retryAfterMs: Milliseconds,
    moment: AdmissionMoment,
  ): string {
    const { engines, nowMs } = moment;
    const { priority } = request;
    const demands = this.#control.demands(nowMs, overlapOf(request, moment));
    const busy = (all: typeof demands) =>
      (all.reduce((sum, demand) => sum + demand.engineMsPerSecond, 0) / MS_PER_SECOND).toFixed(1);
    const own = busy(demands.filter((demand) => demand.priority === priority));
    const retry = isScheduled ? `scheduled in ${retryAfterMs.toFixed(0)} ms` : 'not scheduled';
    return `priority ${String(priority)} asks for ${own} engines, all for ${busy(demands)} of ${engines.toFixed(1)}, retry ${retry}`;
  }

  #toAdmission(request: PlanRequest, nowMs: Milliseconds): AdmissionRequest {
    const { aimMs, allowedRegions, arrivedAtMs, priority, workspace } = request;
    return {
      id: identityOf(request),
      priority,
      workspace,
      engineMs: engineTimeMs(this.figures, request),
      arrivedAtMs,
      aimMs,
      isScheduledRetry: this.isPromised(request, nowMs),
      ...(allowedRegions && { regions: allowedRegions }),
    };
  }
}
