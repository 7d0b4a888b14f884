import type { Milliseconds } from '@poppypond/core';
import { PermitBuckets } from '@poppypond/fleet';
import type { BackendServer, LimitPart, ServerLimits } from '@poppypond/fleet';
import type { PlanAnswer, PlanRequest } from './plan-request.js';
import { ReturnPromises } from './return-promises.js';

/** What this host may give out of the limits of a service. `isAlone`: it plans as it hears nobody who could. */
export type PartOf = (service: string, isAlone: boolean) => LimitPart;

const MS_PER_SECOND = 1000;
/** How exactly a place is foreseen. */
const FORESEEN_WITHIN_MS: Milliseconds = 1;
const NO_PART: LimitPart = { role: 'first', share: 0 };

/** The limits of one service as a planner sees them at one moment. */
export class LimitedService {
  constructor(
    readonly ledger: PermitBuckets,
    readonly part: LimitPart,
    readonly nowMs: Milliseconds,
  ) {}

  /** Servers that may be sent a request which `ahead` others come before; those others have the next places. */
  open(servers: readonly BackendServer[], ahead: number): readonly BackendServer[] {
    if (this.ledger.limits.size === 0) return servers;
    const open = servers.filter((server) => this.#placesOf(server) > 0);
    const places = open.reduce((sum, server) => sum + this.#placesOf(server), 0);
    return places > ahead ? open : open.filter((server) => !this.isLimited(server));
  }

  isLimited(server: BackendServer): boolean {
    return this.ledger.limits.isLimited(server, this.nowMs);
  }

  #placesOf(server: BackendServer): number {
    return this.ledger.availablePermits(server, this.part, this.nowMs);
  }

  /** Gives a place of each server that names a limit; ids of those that a host may take for limited. */
  give(servers: readonly BackendServer[]): readonly string[] {
    const known = servers.filter((server) => this.ledger.limits.find(server) !== undefined);
    for (const server of known) this.ledger.grant(server, this.part, this.nowMs);
    return known.map(({ id }) => id);
  }

  /** Places a second of all servers. */
  rateOf(servers: readonly BackendServer[]): number {
    return servers.reduce((sum, server) => {
      return sum + (this.ledger.rateOf(server, this.part, this.nowMs) ?? 0);
    }, 0);
  }

  /** How long until a place is there for one that has `ahead` others before it; infinite where none is to come. */
  foreseenMs(servers: readonly BackendServer[], ahead: number): Milliseconds {
    const coming = servers.map((server) => ({
      nextMs: this.ledger.nextPermitInMs(server, this.part, this.nowMs),
      everyMs: MS_PER_SECOND / (this.ledger.rateOf(server, this.part, this.nowMs) ?? 0),
    }));
    const placesIn = (forMs: Milliseconds) =>
      coming.reduce((sum, { nextMs, everyMs }) => {
        return sum + (forMs < nextMs ? 0 : 1 + Math.floor((forMs - nextMs) / everyMs));
      }, 0);
    const firstMs = Math.min(...coming.map(({ nextMs }) => nextMs));
    let stepMs = (ahead / this.rateOf(servers)) * MS_PER_SECOND;
    if (!Number.isFinite(firstMs) || ahead === 0) return firstMs;
    let foundMs = firstMs;
    for (; stepMs >= FORESEEN_WITHIN_MS; stepMs /= 2) {
      if (placesIn(foundMs + stepMs) <= ahead) foundMs += stepMs;
    }
    return placesIn(foundMs) > ahead ? foundMs : foundMs + 2 * stepMs;
  }

  /** What there is to tell of limits that are used up. */
  describe(servers: readonly BackendServer[]): string {
    const given = servers.reduce((sum, server) => {
      return sum + this.ledger.recentlyGranted(server, this.nowMs);
    }, 0);
    const rate = this.rateOf(servers).toFixed(1);
    const { role } = this.part;
    return `${String(servers.length)} servers take ${rate} a second, ${String(given)} given in 4 s by the ${role}`;
  }
}

/** Gives out the places of servers that name limits, and tells those for whom there is none when to come back. */
export class LimitedServers {
  readonly #ledger: PermitBuckets;
  /** By service. */
  readonly #returns = new Map<string, ReturnPromises>();

  readonly #parts = new Map<string, { readonly part: LimitPart; readonly atMs: Milliseconds }>();

  constructor(
    limits: ServerLimits,
    readonly partOf: PartOf,
  ) {
    this.#ledger = new PermitBuckets(limits);
  }

  /** Whether any server names a limit, or did lately. */
  get isEmpty(): boolean {
    return this.#ledger.limits.size === 0;
  }

  /** The limits of a service now. */
  at(service: string, isAlone: boolean, nowMs: Milliseconds): LimitedService {
    return new LimitedService(this.#ledger, this.#partOf(service, isAlone, nowMs), nowMs);
  }

  /** Found out once for all requests of one look: it takes all hosts into account. */
  #partOf(service: string, isAlone: boolean, nowMs: Milliseconds): LimitPart {
    if (this.isEmpty) return NO_PART;
    const key = `${String(isAlone)} ${service}`;
    const known = this.#parts.get(key);
    if (known?.atMs === nowMs) return known.part;
    const part = this.partOf(service, isAlone);
    this.#parts.set(key, { part, atMs: nowMs });
    return part;
  }

  /** Places of a server that this host gave in the last 4 s, in whatever role. */
  givenLately(server: BackendServer, nowMs: Milliseconds): number {
    return this.#ledger.recentlyGranted(server, nowMs);
  }

  /** Whether a request was refused before and told to come back about now. */
  isReturned({ service, content }: PlanRequest, nowMs: Milliseconds): boolean {
    return this.#returns.get(service)?.isDue(content, nowMs) ?? false;
  }

  /** A request was placed. */
  onPlaced(request: PlanRequest, nowMs: Milliseconds): void {
    this.#returns.get(request.service)?.settle(request.content, nowMs);
  }

  /** Places that are kept, as the next ones come in, for callers that were told to come back. */
  keptFor(service: string, limited: LimitedService, servers: readonly BackendServer[]): number {
    const returns = this.#returns.get(service);
    if (!returns) return 0;
    const nextMs = MS_PER_SECOND / limited.rateOf(servers);
    return returns.keptUntil(limited.nowMs + nextMs, limited.nowMs);
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
    const foreseenMs = limited.foreseenMs(servers, ahead);
    const untilMs = request.waitsForPermitUntilMs;
    if (untilMs === undefined) {
      const retryAfterMs = Number.isFinite(foreseenMs) ? foreseenMs : undefined;
      return { kind: 'refuse', rule: 'limited', retryAfterMs };
    }
    if (nowMs + foreseenMs <= untilMs) return { kind: 'wait', rule: 'waits_for_limit' };
    const retryAfterMs = this.#tellReturn(request, limited, servers, foreseenMs);
    return { kind: 'refuse', rule: 'limited', retryAfterMs, detail: limited.describe(servers) };
  }

  #tellReturn(
    request: PlanRequest,
    limited: LimitedService,
    servers: readonly BackendServer[],
    foreseenMs: Milliseconds,
  ): Milliseconds | undefined {
    if (!Number.isFinite(foreseenMs)) return undefined;
    const { content, deadlineAtMs: limitAtMs, service } = request;
    const { nowMs } = limited;
    const returns = this.#returns.get(service) ?? new ReturnPromises();
    this.#returns.set(service, returns);
    returns.settle(content, nowMs);
    const perSecond = limited.rateOf(servers);
    const foreseenAtMs = nowMs + foreseenMs;
    return returns.tell({ content, foreseenAtMs, limitAtMs, perSecond }, nowMs);
  }
}
