import type { Milliseconds } from '@poppypond/core';
import { PermitBuckets } from '@poppypond/fleet';
import type { BackendServer, LimitPart, ServerLimits } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { ScheduledRetries } from './scheduled-retries.js';

/** What this host may give out of the limits of a service. `isAlone`: it plans as it hears nobody who could. */
export type LimitPartOf = (service: string, isFallback: boolean) => LimitPart;

const MS_PER_SECOND = 1000;
/** How exactly a place is foreseen. */
const WAIT_PRECISION_MS: Milliseconds = 1;
const NO_LIMIT_PART: LimitPart = { role: 'first', share: 0 };

/** The limits of one service as a planner sees them at one moment. */
export class LimitedService {
  constructor(
    readonly buckets: PermitBuckets,
    readonly part: LimitPart,
    readonly nowMs: Milliseconds,
  ) {}

  /** Servers that may be sent a request which `ahead` others come before; those others have the next places. */
  withPermits(servers: readonly BackendServer[], ahead: number): readonly BackendServer[] {
    if (this.buckets.limits.size === 0) return servers;
    const available = servers.filter((server) => this.#availablePermits(server) > 0);
    const places = available.reduce((sum, server) => sum + this.#availablePermits(server), 0);
    return places > ahead ? available : available.filter((server) => !this.isLimited(server));
  }

  isLimited(server: BackendServer): boolean {
    return this.buckets.limits.isLimited(server, this.nowMs);
  }

  #availablePermits(server: BackendServer): number {
    return this.buckets.availablePermits(server, this.part, this.nowMs);
  }

  /** Gives a place of each server that names a limit; ids of those that a host may take for limited. */
  grant(servers: readonly BackendServer[]): readonly string[] {
    const known = servers.filter((server) => this.buckets.limits.find(server) !== undefined);
    for (const server of known) this.buckets.grant(server, this.part, this.nowMs);
    return known.map(({ id }) => id);
  }

  /** Places a second of all servers. */
  rateOf(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, server) => {
      return sum + (this.buckets.rateOf(server, this.part, this.nowMs) ?? 0);
    }, 0);
  }

  /** How long until a place is there for one that has `ahead` others before it; infinite where none is to come. */
  expectedWaitMs(servers: readonly BackendServer[], ahead: number): Milliseconds {
    const schedules = servers.map((server) => ({
      nextMs: this.buckets.nextPermitInMs(server, this.part, this.nowMs),
      intervalMs: MS_PER_SECOND / (this.buckets.rateOf(server, this.part, this.nowMs) ?? 0),
    }));
    const permitsWithin = (forMs: Milliseconds) =>
      schedules.reduce((sum, { nextMs, intervalMs }) => {
        return sum + (forMs < nextMs ? 0 : 1 + Math.floor((forMs - nextMs) / intervalMs));
      }, 0);
    const firstMs = Math.min(...schedules.map(({ nextMs }) => nextMs));
    let stepMs = (ahead / this.rateOf(servers)) * MS_PER_SECOND;
    if (!Number.isFinite(firstMs) || ahead === 0) return firstMs;
    let lowerBoundMs = firstMs;
    for (; stepMs >= WAIT_PRECISION_MS; stepMs /= 2) {
      if (permitsWithin(lowerBoundMs + stepMs) <= ahead) lowerBoundMs += stepMs;
    }
    return permitsWithin(lowerBoundMs) > ahead ? lowerBoundMs : lowerBoundMs + 2 * stepMs;
  }

  /** What there is to tell of limits that are used up. */
  describe(servers: readonly BackendServer[]): string {
    const granted = servers.reduce((sum, server) => {
      return sum + this.buckets.recentlyGranted(server, this.nowMs);
    }, 0);
    const rate = this.rateOf(servers).toFixed(1);
    const { role } = this.part;
    return `${String(servers.length)} servers take ${rate} a second, ${String(granted)} given in 4 s by the ${role}`;
  }
}

/** Gives out the places of servers that name limits, and tells those for whom there is none when to come back. */
export class LimitedServers {
  readonly #buckets: PermitBuckets;
  /** By service. */
  readonly #retriesByService = new Map<string, ScheduledRetries>();

  readonly #partCache = new Map<
    string,
    { readonly part: LimitPart; readonly atMs: Milliseconds }
  >();

  constructor(
    limits: ServerLimits,
    readonly limitPartOf: LimitPartOf,
  ) {
    this.#buckets = new PermitBuckets(limits);
  }

  /** Whether any server names a limit, or did lately. */
  get isEmpty(): boolean {
    return this.#buckets.limits.size === 0;
  }

  /** The limits of a service now. */
  limitsOf(service: string, isFallback: boolean, nowMs: Milliseconds): LimitedService {
    return new LimitedService(this.#buckets, this.#limitPartOf(service, isFallback, nowMs), nowMs);
  }

  /** Found out once for all requests of one look: it takes all hosts into account. */
  #limitPartOf(service: string, isFallback: boolean, nowMs: Milliseconds): LimitPart {
    if (this.isEmpty) return NO_LIMIT_PART;
    const key = `${String(isFallback)} ${service}`;
    const known = this.#partCache.get(key);
    if (known?.atMs === nowMs) return known.part;
    const part = this.limitPartOf(service, isFallback);
    this.#partCache.set(key, { part, atMs: nowMs });
    return part;
  }

  /** Places of a server that this host gave in the last 4 s, in whatever role. */
  recentlyGranted(server: BackendServer, nowMs: Milliseconds): number {
    return this.#buckets.recentlyGranted(server, nowMs);
  }

  /** Whether a request was refused before and told to come back about now. */
  isScheduledRetry({ service, content }: PlanRequest, nowMs: Milliseconds): boolean {
    return this.#retriesByService.get(service)?.isDue(content, nowMs) ?? false;
  }

  /** A request was placed. */
  onPlaced(request: PlanRequest, nowMs: Milliseconds): void {
    this.#retriesByService.get(request.service)?.settle(request.content, nowMs);
  }

  /** Places that are kept, as the next ones come in, for callers that were told to come back. */
  reservedFor(service: string, limited: LimitedService, servers: readonly BackendServer[]): number {
    const retries = this.#retriesByService.get(service);
    if (!retries) return 0;
    const nextMs = MS_PER_SECOND / limited.rateOf(servers);
    return retries.reservedUntil(limited.nowMs + nextMs, limited.nowMs);
  }

  /**
   * What comes of a request where no server may be sent one now: it waits where a place is foreseen in its time, and
   * is refused at once where none is, with the moment at which one is.
   */
  answer(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
    ahead: number,
  ): PlanAnswer {
    const { nowMs } = limited;
    const expectedWaitMs = limited.expectedWaitMs(servers, ahead);
    const untilMs = request.waitsForPermitUntilMs;
    if (untilMs === undefined) {
      const retryAfterMs = Number.isFinite(expectedWaitMs) ? expectedWaitMs : undefined;
      return { kind: 'refuse', rule: 'limited', retryAfterMs };
    }
    if (nowMs + expectedWaitMs <= untilMs) return { kind: 'wait', rule: 'waits_for_limit' };
    const retryAfterMs = this.#scheduleRetry(request, limited, servers, expectedWaitMs);
    return { kind: 'refuse', rule: 'limited', retryAfterMs, detail: limited.describe(servers) };
  }

  #scheduleRetry(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
    expectedWaitMs: Milliseconds,
  ): Milliseconds | undefined {
    if (!Number.isFinite(expectedWaitMs)) return undefined;
    const { content, deadlineAtMs, service } = request;
    const { nowMs } = limited;
    const retries = this.#retriesByService.get(service) ?? new ScheduledRetries();
    this.#retriesByService.set(service, retries);
    retries.settle(content, nowMs);
    const perSecond = limited.rateOf(servers);
    const expectedAtMs = nowMs + expectedWaitMs;
    return retries.schedule({ content, expectedAtMs, deadlineAtMs, perSecond }, nowMs);
  }
}
