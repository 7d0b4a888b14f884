import type { Milliseconds } from '@poppypond/core';
import type { ColdStart } from '@poppypond/routing';
import type { BackendServer } from './backend-server.js';
import { HostSlots } from './host-slots.js';
import type { KnownHosts } from './host-slots.js';
import type { LimitPart } from './permit-buckets.js';
import { RequestWindows } from './request-windows.js';

/**
 * How many requests a server of a service may get in any second while it counts as warm, as it may
 * have turned cold a moment ago. The parts are granted independently of each other.
 */
export interface RequestBound {
  /** Requests that the first planner grants if it hears all hosts. */
  readonly first: number;
  /** Requests that a standby grants. */
  readonly standIn: number;
  /** Requests that hosts send without a grant of a planner, all hosts together. */
  readonly alone: number;
  /** Whether hosts send their part of `alone` without asking: for plain services, which have no plans. */
  readonly isPlain: boolean;
}

/** What a cold server may get in any second: a multiple of its rate, and some requests more. */
export interface ColdAllowance {
  readonly rateFactor: number;
  readonly extraRequests: number;
}

/** What the users' platform allows unless the settings state otherwise. */
export const DEFAULT_COLD_ALLOWANCE: ColdAllowance = { rateFactor: 1.5, extraRequests: 5 };
/**
 * Kept free for status queries and renewals of reservations, which no host counts. Planners subtract
 * what exceeds it.
 */
export const UNCOUNTED_REQUESTS = 1;
/**
 * Shares of the bound. Hosts send most calls of plain services without a permit, which costs a round
 * trip. All engines are planned, so hosts that reach no planner get little.
 */
const PLAIN_SHARES = { alone: 0.6, standIn: 0.1 };
const ENGINE_SHARES = { alone: 0.15, standIn: 0.1 };
/**
 * A host that takes over as the first planner does not know what the one before has just granted, so
 * it may grant little at first. The same applies to the part of hosts that it hears again after a
 * network partition, which had a first planner of their own.
 */
const TAKEOVER_MS: Milliseconds = 1000;
/**
 * A planner that was not asked for this long may have been replaced meanwhile: other hosts consider
 * it silent 2.5 s after its last heartbeat, which may be a second older than the last request. In
 * the remaining 0.1 s the one that takes over grants little.
 */
const UNASKED_MS: Milliseconds = 1600;
/** Period over which `atBound` counts. */
const FULL_FOR_MS: Milliseconds = 1000;
/** Interval at which the known hosts are read. */
const HOSTS_PERIOD_MS: Milliseconds = 250;
const NO_HOSTS: KnownHosts = { hosts: [], hostCount: Number.POSITIVE_INFINITY };

/** Divides what a server that may be cold takes among planners and hosts. */
export function requestBoundOf(
  { requestsPerSecond }: ColdStart,
  isPlain: boolean,
  { rateFactor, extraRequests }: ColdAllowance = DEFAULT_COLD_ALLOWANCE,
): RequestBound {
  const allowed = requestsPerSecond * rateFactor + extraRequests;
  const total = Math.max(1, Math.floor(allowed) - UNCOUNTED_REQUESTS);
  const shares = isPlain ? PLAIN_SHARES : ENGINE_SHARES;
  const alone = Math.floor(total * shares.alone);
  const standIn = Math.floor(total * shares.standIn);
  return { first: total - alone - standIn, standIn, alone, isPlain };
}

interface FirstPeriod {
  /** Share of the first planner's part that this host may grant, which grows slowly. */
  share: number;
  /** When it was last asked. */
  atMs: Milliseconds;
}

/** Dependencies of `RequestBounds`. */
export interface RequestBoundsParts {
  /** Name of this host. */
  readonly host: string;
  /** Undefined for services whose servers have no cold start, which are unbounded. */
  readonly boundOf: (service: string) => RequestBound | undefined;
  /**
   * Whether a server has been known to be cold for so long that hosts have stopped to send it their
   * own part.
   */
  readonly isSettled: (server: BackendServer, nowMs: Milliseconds) => boolean;
}

/**
 * Bounds what each server gets in any second from all hosts together, whether it is known to be cold
 * or not: a server that turns cold while it serves may say so in its entry only, and until all hosts
 * know it has got what a warm server gets.
 */
export class RequestBounds {
  readonly #granted = { first: new RequestWindows(), stand_in: new RequestWindows() };
  /** What this host sent, or planned for itself, without a planner. */
  readonly #own = new RequestWindows();
  readonly #slots: HostSlots;
  #knownHosts: () => KnownHosts = () => NO_HOSTS;
  #hostsReadAtMs = Number.NEGATIVE_INFINITY;
  /** Servers to which this host as a planner could grant nothing lately, and when, by id. */
  readonly #full = new Map<string, { readonly service: string; readonly atMs: Milliseconds }>();
  /** Services of which this host is the first planner. */
  readonly #firstPeriods = new Map<string, FirstPeriod>();

  constructor(readonly parts: RequestBoundsParts) {
    this.#slots = new HostSlots(parts.host);
  }

  /** Sets the source of the hosts that share the bounds. */
  setKnownHosts(knownHosts: () => KnownHosts): void {
    this.#knownHosts = knownHosts;
  }

  /** Whether the servers of a service are bounded. */
  isBounded(service: string): boolean {
    return this.parts.boundOf(service) !== undefined;
  }

  /** Whether this host needs a permit for what exceeds its own part: only of plain services. */
  needsPermit(service: string): boolean {
    return this.parts.boundOf(service)?.isPlain ?? false;
  }

  /** Whether this host may send a server a request now without a permit. */
  hasOwnRoom(server: BackendServer, nowMs: Milliseconds): boolean {
    if (!this.needsPermit(server.service)) return true;
    return this.#own.countOf(server, nowMs) < this.#ownMax(server, nowMs);
  }

  /** Counts a request that this host sends without a permit. */
  onSentWithoutPermit(server: BackendServer, nowMs: Milliseconds): void {
    if (this.needsPermit(server.service)) this.#own.add(server, nowMs);
  }

  /**
   * Number of requests to a server that this host may grant now; infinite if it is not bounded.
   * `uncounted`: requests a second that the server gets without a grant, beyond
   * `UNCOUNTED_REQUESTS`.
   */
  left(server: BackendServer, part: LimitPart, nowMs: Milliseconds, uncounted = 0): number {
    const max = this.maxOf(server, part, nowMs, uncounted);
    if (max === undefined) return Number.POSITIVE_INFINITY;
    const left = Math.max(0, max - this.#windowsOf(part).countOf(server, nowMs));
    if (left === 0 && part.role !== 'alone')
      this.#full.set(server.id, { service: server.service, atMs: nowMs });
    return left;
  }

  /**
   * Number of servers by service to which this host, as a planner, could grant nothing at some time
   * in the last second, because they had got what a server that may be cold takes.
   */
  atBound(nowMs: Milliseconds): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const [id, { service, atMs }] of this.#full) {
      if (nowMs - atMs >= FULL_FOR_MS) this.#full.delete(id);
      else counts[service] = (counts[service] ?? 0) + 1;
    }
    return counts;
  }

  /** Counts `requests` granted requests to a server. */
  grant(server: BackendServer, part: LimitPart, nowMs: Milliseconds, requests = 1): void {
    if (!this.isBounded(server.service)) return;
    this.#windowsOf(part).add(server, nowMs, requests);
  }

  /** Time until another request to a server may be granted; infinite if none ever may. */
  freeInMs(server: BackendServer, part: LimitPart, nowMs: Milliseconds): Milliseconds {
    const max = this.maxOf(server, part, nowMs);
    if (max === undefined) return 0;
    return this.#windowsOf(part).freeInMs(server, max, nowMs);
  }

  /**
   * Requests to a server that this host may grant in any second; undefined if not bounded. The first
   * planner's part alone is reduced by `uncounted` requests, so that they are subtracted once.
   */
  maxOf(
    server: BackendServer,
    part: LimitPart,
    nowMs: Milliseconds,
    uncounted = 0,
  ): number | undefined {
    const bound = this.parts.boundOf(server.service);
    if (!bound) return undefined;
    const { role, heardShare = 1 } = part;
    if (role === 'alone') return this.#ownMax(server, nowMs);
    if (role === 'stand_in') {
      // Another host is the first planner, so that a return to that role is a takeover.
      this.#firstPeriods.delete(server.service);
      return Math.floor(bound.standIn * heardShare);
    }
    const firstShare = this.#firstShare(server.service, heardShare, nowMs);
    // Hosts that know it send their own part no longer, so the cold rate alone applies.
    if (this.parts.isSettled(server, nowMs)) return undefined;
    const max = Math.floor(bound.first * heardShare);
    if (max === 0) return this.#slotsOf(server, bound.first, nowMs);
    const granted = Math.min(max - uncounted, 1 + Math.floor(bound.first * firstShare));
    return Math.max(0, granted);
  }

  #windowsOf({ role }: LimitPart): RequestWindows {
    return role === 'alone' ? this.#own : this.#granted[role];
  }

  #ownMax(server: BackendServer, nowMs: Milliseconds): number {
    return this.#slotsOf(server, this.parts.boundOf(server.service)?.alone ?? 0, nowMs);
  }

  #slotsOf({ id }: BackendServer, total: number, nowMs: Milliseconds): number {
    if (nowMs - this.#hostsReadAtMs >= HOSTS_PERIOD_MS) {
      this.#hostsReadAtMs = nowMs;
      this.#slots.setHosts(this.#knownHosts());
    }
    return this.#slots.slotsOf(id, total);
  }

  /** Share of the first planner's part that this host may grant now. */
  #firstShare(service: string, heardShare: number, nowMs: Milliseconds): number {
    const known = this.#firstPeriods.get(service);
    if (!known || nowMs - known.atMs >= UNASKED_MS) {
      this.#firstPeriods.set(service, { share: 0, atMs: nowMs });
      return 0;
    }
    const grownBy = (heardShare * (nowMs - known.atMs)) / TAKEOVER_MS;
    known.share = Math.min(heardShare, known.share + grownBy);
    known.atMs = nowMs;
    return known.share;
  }
}
