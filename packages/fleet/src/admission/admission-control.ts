import type { Milliseconds } from '@poppypond/core';
import type { DemandingRequest, PriorityDemand } from './demand-estimate.js';
import { engineWindow } from './engine-windows.js';
import type { EngineWindow } from './engine-windows.js';
import { GrantedTime } from './granted-time.js';
import { SizeShares } from './size-shares.js';
import type { WorkspaceGrant } from './granted-time.js';
import { RegionalDemand } from './regional-demand.js';
import type { LimitedDemand } from './regional-demand.js';
import { WHOLE_OVERLAP } from './region-shares.js';
import type { RegionOverlap } from './region-shares.js';

/** A request for which admission is decided. */
export interface AdmissionRequest extends DemandingRequest {
  readonly arrivedAtMs: Milliseconds;
  /** Latency target, counted from the arrival. */
  readonly aimMs: Milliseconds;
  /** Whether it was refused before and returns at the time that it was given. */
  readonly isScheduledRetry: boolean;
}

/** What admission is decided by, beside the demand. */
export interface AdmissionSituation {
  /** Number of engines that are usable now; a rate-limited one counts as a part. */
  readonly engines: number;
  /** Requests that wait for the same service. */
  readonly waiting: readonly AdmissionRequest[];
  /** Overlap of other requests with the engines that this one may use; whole if undefined. */
  readonly overlap?: RegionOverlap | undefined;
  /** Whether the request may use a region whose engines requests don't compete for. */
  readonly hasFreeRegion?: boolean;
  /** Number of scheduled retries that are expected within a time from now. */
  readonly retriesWithin: (forMs: Milliseconds) => number;
}

/** When a refused request finds room. */
export interface AdmissionRefusal {
  readonly kind: 'refuse';
  readonly expectedWaitMs: Milliseconds;
  /** Requests of its kind per second for which room becomes free. */
  readonly perSecond: number;
}

/** `plan`: it may use engines now. `wait`: others are served before it. */
export type AdmissionDecision =
  { readonly kind: 'plan' } | { readonly kind: 'wait' } | AdmissionRefusal;

/** Demand and grants, as far as a standby needs them. */
export interface AdmissionState {
  /** Demand of the requests that may use any engine. */
  readonly demands: readonly PriorityDemand[];
  /** Demand of those that are limited to regions; undefined if there is none. */
  readonly limitedDemands?: readonly LimitedDemand[] | undefined;
  readonly grants: readonly WorkspaceGrant[];
}

const MS_PER_SECOND = 1000;
/**
 * Share of its latency target that a request may wait for engines; the rest is needed for its
 * prefill.
 */
const MAX_WAIT_SHARE = 0.65;
/** The same for large requests that are served too seldom, which wait for many free engines. */
const MAX_WAIT_SHARE_BEHIND = 1;
/**
 * Share of the engine time in a window that becomes useful work: engines wait for the other parts of
 * a prompt and for memory.
 */
const USABLE_SHARE = 0.8;
/**
 * Demand, as a share of the engine time, above which requests get in each other's way. Engines
 * prefill while they decode, so less is needed than demand sums up: with 0.6, and answers counted at
 * their longest, 14 of 84 long prompts were refused on 60 engines that serve all of them.
 */
const SCARCE_SHARE = 0.85;
/** Workspaces in the state for a standby; the others count as not served lately. */
const MAX_STATE_GRANTS = 24;

/** Decides which requests of one service are admitted when there is too little room. */
export class AdmissionControl {
  readonly demand = new RegionalDemand();
  readonly granted = new GrantedTime();
  readonly sizes = new SizeShares();

  /**
   * Counts the demand of a request, once however often it is asked for. `more`: number of similar
   * requests that a host has refused by itself.
   */
  record(request: DemandingRequest, nowMs: Milliseconds, more = 0): void {
    if (!this.demand.record(request, nowMs, 1 + more)) return;
    this.sizes.onRequested(request, nowMs);
  }

  /** Records that a request was given engines. */
  onPlaced(request: DemandingRequest, nowMs: Milliseconds): void {
    this.granted.add(request.workspace, request.engineMs, nowMs);
    this.sizes.onServed(request, nowMs);
  }

  /** The engines that requests of `priority` may use, of `engines` usable ones. */
  windowOf(
    priority: number,
    engines: number,
    nowMs: Milliseconds,
    overlap?: RegionOverlap,
  ): EngineWindow {
    return engineWindow(priority, this.demand.byPriority(nowMs, overlap), engines);
  }

  /**
   * Whether requests may get in each other's way on `engines` usable engines, so that each priority
   * keeps to its own.
   */
  isScarce(engines: number, nowMs: Milliseconds, overlap?: RegionOverlap): boolean {
    const demands = this.demand.byPriority(nowMs, overlap);
    const demanded = demands.reduce((sum, demand) => sum + demand.engineMsPerSecond, 0);
    return demanded > engines * MS_PER_SECOND * SCARCE_SHARE;
  }

  /**
   * Returns the requests in the order in which they are served: scheduled retries, then by priority,
   * then large ones if they are behind, then the workspace that was granted the least engine time
   * lately, then by arrival.
   */
  inOrder<Request extends AdmissionRequest>(
    requests: readonly Request[],
    nowMs: Milliseconds,
  ): readonly Request[] {
    const rankOf = (request: Request) => ({
      request,
      isBehind: this.sizes.isBehind(request, nowMs),
      grantedMs: this.granted.perSecond(request.workspace, nowMs),
    });
    return requests
      .map(rankOf)
      .sort(({ request: one, ...left }, { request: other, ...right }) => {
        if (one.isScheduledRetry !== other.isScheduledRetry) return one.isScheduledRetry ? -1 : 1;
        if (one.priority !== other.priority) return one.priority - other.priority;
        if (left.isBehind !== right.isBehind) return left.isBehind ? -1 : 1;
        return left.grantedMs - right.grantedMs || one.arrivedAtMs - other.arrivedAtMs;
      })
      .map(({ request }) => request);
  }

  /** Decides about a request; `situation.waiting` may contain it. */
  decide(
    request: AdmissionRequest,
    situation: AdmissionSituation,
    nowMs: Milliseconds,
  ): AdmissionDecision {
    const { engines, overlap = WHOLE_OVERLAP } = situation;
    if (request.isScheduledRetry || situation.hasFreeRegion) return { kind: 'plan' };
    if (!this.isScarce(engines, nowMs, overlap)) return { kind: 'plan' };
    const rivals = situation.waiting.filter(({ priority, regions }) => {
      return priority <= request.priority && overlap(regions) > 0;
    });
    const others = rivals.filter(({ id }) => id !== request.id);
    const isWaiting = others.length < rivals.length;
    const order = this.inOrder([...others, request], nowMs);
    const ahead = order.slice(0, order.indexOf(request));
    const refusal = this.#refuse(request, ahead, situation, nowMs);
    const waitedMs = nowMs - request.arrivedAtMs;
    const maxWaitMs = request.aimMs * this.#maxWaitShare(request, nowMs);
    if (waitedMs + refusal.expectedWaitMs > maxWaitMs) return refusal;
    if (others.length === 0) return { kind: 'plan' };
    const isHeldBack = ahead.some((other) => {
      return other.priority === request.priority && this.sizes.isBehind(other, nowMs);
    });
    return { kind: isWaiting && !isHeldBack ? 'plan' : 'wait' };
  }

  /** The demand of all priorities on some engines, the most urgent first. */
  demands(nowMs: Milliseconds, overlap?: RegionOverlap): readonly PriorityDemand[] {
    return this.demand.byPriority(nowMs, overlap);
  }

  /** Demand and grants for a standby. */
  state(nowMs: Milliseconds): AdmissionState {
    const limitedDemands = this.demand.limited(nowMs);
    return {
      demands: this.demand.unlimited(nowMs),
      ...(limitedDemands.length > 0 && { limitedDemands }),
      grants: this.granted.largest(MAX_STATE_GRANTS, nowMs),
    };
  }

  /** Takes over what another planner knows, as far as it is unknown here. */
  restore({ demands, limitedDemands = [], grants }: AdmissionState, nowMs: Milliseconds): void {
    this.demand.restore(demands, limitedDemands, nowMs);
    this.granted.restore(grants, nowMs);
  }

  #maxWaitShare(request: AdmissionRequest, nowMs: Milliseconds): number {
    return this.sizes.isBehind(request, nowMs) ? MAX_WAIT_SHARE_BEHIND : MAX_WAIT_SHARE;
  }

  #refuse(
    request: AdmissionRequest,
    ahead: readonly AdmissionRequest[],
    { engines, overlap = WHOLE_OVERLAP, retriesWithin }: AdmissionSituation,
    nowMs: Milliseconds,
  ): AdmissionRefusal {
    const { from, to } = this.windowOf(request.priority, engines, nowMs, overlap);
    const roomPerSecond = Math.max(1, (to - from) * MS_PER_SECOND * USABLE_SHARE);
    const aheadMs = ahead.reduce((sum, other) => sum + other.engineMs * overlap(other.regions), 0);
    const expectedWaitMs = (aheadMs / roomPerSecond) * MS_PER_SECOND;
    const retriesMs = retriesWithin(expectedWaitMs) * request.engineMs;
    return {
      kind: 'refuse',
      expectedWaitMs: expectedWaitMs + (retriesMs / roomPerSecond) * MS_PER_SECOND,
      perSecond: roomPerSecond / Math.max(1, request.engineMs),
    };
  }
}
