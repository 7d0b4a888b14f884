import type { Clock, Milliseconds } from '@poppypond/core';
import { ZoneRegions } from '@poppypond/fleet';
import type {
  AllowedRegions,
  BackendServer,
  RateLimits,
  RequestBounds,
  ServerBackoffs,
} from '@poppypond/fleet';
import type { ServerList } from '../store/server-list.js';
import type { SendPermit } from './permit-client.js';

/** Dependencies of `SendGate`. */
export interface SendGateParts {
  readonly clock: Clock;
  readonly servers: ServerList;
  readonly rests: ServerBackoffs;
  readonly limits: RateLimits;
  /** What servers get at all times, from all hosts together; unbounded if undefined. */
  readonly bounds?: RequestBounds;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
  /** Regions of the availability zones; all are unknown if undefined. */
  readonly regions?: ZoneRegions;
}

/** Whether this host may open another connection to a server. */
export interface ConnectionBound {
  mayConnect(server: BackendServer): boolean;
}

const NO_BOUND: ConnectionBound = { mayConnect: () => true };

/** Why nothing may be sent to a server now. */
export type BlockReason =
  | 'leaves'
  | 'rests'
  | 'not_listed'
  | 'limited'
  | 'cold'
  | 'may_be_cold'
  | 'evacuated'
  | 'other_region'
  | 'connections';

/** The servers that one attempt uses. */
export interface AttemptServers {
  readonly attemptId: string;
  readonly server: BackendServer;
  /** Engines that prefill parts of its prompt. */
  readonly readers: readonly BackendServer[];
  /** Permits that it was granted for the rate-limited ones among them. */
  readonly permit?: SendPermit | undefined;
  /** Regions whose servers may take its request. */
  readonly allowedRegions?: AllowedRegions;
}

/** Source of permits for rate-limited servers. */
export interface PermitSource {
  tryAcquire(server: BackendServer): Promise<SendPermit | undefined>;
  recordUse(server: BackendServer): void;
}

const NO_PERMITS: PermitSource = {
  tryAcquire: () => Promise.resolve(undefined),
  recordUse: () => undefined,
};

/**
 * Jitter for the retries of callers that are refused while all servers are in a backoff: if all
 * retried at the end of the first backoff, they would cause the next one. About as long as the
 * ramp-up of a server.
 */
const CALLER_RETRY_JITTER_MS: Milliseconds = 500;
/**
 * A permit that is not used within this time expires, as the limit yields further permits
 * meanwhile.
 */
const PERMIT_LIFETIME_MS: Milliseconds = 1000;
/**
 * After a process pause, messages that queued up during the pause are processed within this time.
 */
const PAUSE_BACKLOG_MS: Milliseconds = 100;
/**
 * Retry delay during a ramp-up: the server takes the next request as soon as another one is
 * answered.
 */
const RAMP_UP_POLL_MS: Milliseconds = 20;

/**
 * Decides by servers' own notices whether this host may send them anything. Unlike the avoidance of
 * suspected servers, which is a preference and is ignored if too many are suspected, this is
 * binding. It is consulted when a server is chosen and again right before the first byte is sent,
 * as the choice may come from another host or be old.
 */
export class SendGate {
  #permits: PermitSource = NO_PERMITS;
  #permitsValidFromMs: Milliseconds = Number.NEGATIVE_INFINITY;

  readonly #regions: ZoneRegions;
  #connections: ConnectionBound = NO_BOUND;

  constructor(readonly parts: SendGateParts) {
    this.#regions = parts.regions ?? new ZoneRegions();
  }

  /**
   * Returns the servers of a service in the allowed regions that may be sent a request now, in an
   * order that is the same on all hosts.
   */
  usableServers(service: string, allowed?: AllowedRegions): readonly BackendServer[] {
    const { rests, servers } = this.parts;
    const ready = this.#regions.filter(servers.available(service), allowed);
    if (rests.size === 0 && ready.length > 0) return ready;
    const sendable = this.#sendable(ready);
    if (sendable.length > 0) return sendable;
    return this.#sendable(this.#regions.filter(servers.lastResort(service), allowed));
  }

  /** Whether this host may open another connection to a server. */
  mayConnect(server: BackendServer): boolean {
    return this.#connections.mayConnect(server);
  }

  /** Sets the bound of the connections to servers. */
  setConnectionBound(connections: ConnectionBound): void {
    this.#connections = connections;
  }

  /**
   * Whether a server is in a backoff or in the ramp-up after one, in which it may ask for another.
   */
  isRecovering(server: BackendServer): boolean {
    return this.parts.rests.isRecovering(server);
  }

  /**
   * Returns the ids of listed servers of a service that this host may send nothing now. Plan
   * requests carry them, as planners may have received other notices.
   */
  excludedIds(service: string, allowed?: AllowedRegions): readonly string[] {
    const { rests, servers } = this.parts;
    const leaving = servers.leaving(service);
    if (rests.size === 0 && leaving.length === 0) return [];
    const usable = new Set(this.usableServers(service, allowed));
    return this.#regions
      .filter([...servers.available(service), ...leaving], allowed)
      .filter((server) => !usable.has(server))
      .map(({ id }) => id);
  }

  /**
   * Returns how long it takes until some server of a service in the allowed regions may be sent a
   * request; 0 if one may now, undefined if none is listed.
   */
  nextUsableInMs(service: string, allowed?: AllowedRegions): Milliseconds | undefined {
    if (this.usableServers(service, allowed).length > 0) return 0;
    const { clock, rests, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    const listed = this.#regions.filter(servers.available(service), allowed);
    if (listed.length === 0) return undefined;
    return Math.max(
      RAMP_UP_POLL_MS,
      Math.min(...listed.map((server) => rests.leftMs(server, nowMs))),
    );
  }

  /**
   * Why `nextUsableInMs` is undefined: no server of a service in the allowed regions may be sent a
   * request.
   */
  unusableReason(service: string, allowed?: AllowedRegions): string {
    const { servers } = this.parts;
    if (servers.hasEvacuated(service) && servers.available(service).length === 0)
      return 'all servers of the service are in evacuated availability zones';
    if (allowed === undefined) return 'no server of the service is listed';
    return `no server of the service is listed in the allowed regions: ${allowed.join(', ')}`;
  }

  /**
   * Returns the jittered retry delay of a caller that is refused because no server may be sent its
   * request.
   */
  callerRetryDelayMs(nextUsableInMs: Milliseconds): Milliseconds {
    return nextUsableInMs + this.parts.random() * CALLER_RETRY_JITTER_MS;
  }

  /**
   * Returns the retry delay of a caller of a service whose servers may all be sent nothing now;
   * undefined if one may, or none is listed.
   */
  retryDelayMs(service: string, allowedRegions: AllowedRegions): Milliseconds | undefined {
    const nextUsableInMs = this.nextUsableInMs(service, allowedRegions);
    return nextUsableInMs ? this.callerRetryDelayMs(nextUsableInMs) : undefined;
  }

  /**
   * Checks an attempt right before it is sent. Returns undefined and counts the attempt as sent if
   * all of its servers may be sent it; otherwise returns the id of a server that may not, and why.
   */
  admitAttempt(
    attempt: AttemptServers,
  ): { readonly id: string; readonly why: BlockReason } | undefined {
    const { allowedRegions, attemptId, server, readers, permit } = attempt;
    const { clock, rests } = this.parts;
    for (const used of [server, ...readers]) {
      const why =
        this.#findBlock(used, used === server, allowedRegions) ??
        this.#findLimitBlock(used, permit);
      if (why) return { id: used.id, why };
    }
    if (!this.mayConnect(server)) return { id: server.id, why: 'connections' };
    if (!this.isLimited(server) && !this.#isPermitted(server, permit))
      this.parts.bounds?.onSentWithoutPermit(server, clock.monotonicMs());
    rests.onSent(server, attemptId, clock.monotonicMs());
    return undefined;
  }

  /**
   * Records that the head of a response arrived: the server accepted the request and asks for no
   * backoff.
   */
  onAnswered(server: BackendServer, attemptId: string): void {
    this.parts.rests.onAnswered(server, attemptId);
  }

  /** Records that an attempt has ended. */
  onAttemptEnd(server: BackendServer, attemptId: string): void {
    this.parts.rests.onAttemptEnd(server, attemptId);
  }

  /** Sets where permits are requested. */
  setPermitSource(permits: PermitSource): void {
    this.#permits = permits;
  }

  /** Handles a process pause: permits that are received right after it were granted long before. */
  onPause(): void {
    this.#permitsValidFromMs = this.parts.clock.monotonicMs() + PAUSE_BACKLOG_MS;
  }

  /** Whether any server has a fleet-wide rate limit, or had one recently. */
  get hasLimits(): boolean {
    return this.parts.limits.size > 0;
  }

  /** Whether a server has a fleet-wide rate limit, reported or because it is cold. */
  isLimited(server: BackendServer): boolean {
    const { clock, limits } = this.parts;
    return limits.isLimited(server, clock.monotonicMs());
  }

  /** Whether the servers of a service are bounded so that calls may need a permit. */
  isBounded(service: string): boolean {
    return this.parts.bounds?.needsPermit(service) ?? false;
  }

  /** Whether this host may send a server that is not limited a request without a permit now. */
  hasOwnRoom(server: BackendServer): boolean {
    const { bounds, clock } = this.parts;
    return bounds?.hasOwnRoom(server, clock.monotonicMs()) ?? true;
  }

  /** Whether a server is cold, so that others are preferred. */
  isCold(server: BackendServer): boolean {
    const { clock, limits } = this.parts;
    return limits.isCold(server, clock.monotonicMs());
  }

  /**
   * Whether an engine may be sent a reservation command; counts the few that are allowed during a
   * backoff. A rate-limited engine is sent commands without a permit, which are counted against its
   * limit: without them a running request would lose its memory, or memory would stay reserved.
   * For the same reason an engine of an evacuated zone is sent renewals and releases; `isFirst`
   * marks the command for an attempt that has not started, which it is not sent.
   */
  tryReservationCommand(server: BackendServer, isFirst = false): boolean {
    const { clock, rests, servers } = this.parts;
    if (isFirst && servers.isEvacuated(server)) return false;
    if (!rests.tryReservationCommand(server, clock.monotonicMs())) return false;
    if (this.isLimited(server)) this.#permits.recordUse(server);
    return true;
  }

  /** Whether an engine may be sent a status query; takes a permit if the engine is rate-limited. */
  async tryStatusQuery(server: BackendServer): Promise<boolean> {
    if (this.backoffLeftMs(server) > 0 || this.parts.servers.isEvacuated(server)) return false;
    if (!this.isLimited(server)) return true;
    const permit = await this.#permits.tryAcquire(server);
    return permit?.serverIds.includes(server.id) ?? false;
  }

  /** Remaining backoff of a server; 0 if there is none. */
  backoffLeftMs(server: BackendServer): Milliseconds {
    const { clock, rests } = this.parts;
    return rests.leftMs(server, clock.monotonicMs());
  }

  #sendable(servers: readonly BackendServer[]): readonly BackendServer[] {
    const { clock, rests } = this.parts;
    const nowMs = clock.monotonicMs();
    return servers.filter((server) => rests.canSend(server, nowMs));
  }

  /**
   * Finds out whether the permit for a rate-limited server is missing or expired. The granting host
   * counts what all hosts send, so nothing is sent without a permit.
   */
  #findLimitBlock(server: BackendServer, permit: SendPermit | undefined): BlockReason | undefined {
    const isLimited = this.isLimited(server);
    if (!isLimited && this.hasOwnRoom(server)) return undefined;
    if (this.#isPermitted(server, permit)) return undefined;
    if (!isLimited) return 'may_be_cold';
    return this.isCold(server) ? 'cold' : 'limited';
  }

  #isPermitted({ id }: BackendServer, permit: SendPermit | undefined): boolean {
    if (!permit?.serverIds.includes(id)) return false;
    const { grantedAtMs } = permit;
    const isFresh = this.parts.clock.monotonicMs() - grantedAtMs < PERMIT_LIFETIME_MS;
    return isFresh && grantedAtMs >= this.#permitsValidFromMs;
  }

  /**
   * `receivesRequest`: whether the server is sent the request itself; only these requests are
   * limited in the ramp-up after a backoff.
   */
  #findBlock(
    server: BackendServer,
    receivesRequest: boolean,
    allowed: AllowedRegions,
  ): BlockReason | undefined {
    const { clock, rests, servers } = this.parts;
    if (servers.isEvacuated(server)) return 'evacuated';
    if (!this.#regions.allows(server, allowed)) return 'other_region';
    const nowMs = clock.monotonicMs();
    const isBackingOff = receivesRequest
      ? !rests.canSend(server, nowMs)
      : rests.leftMs(server, nowMs) > 0;
    if (isBackingOff) return 'rests';
    const { service } = server;
    if (servers.isLeaving(server)) {
      const usable = this.usableServers(service, allowed);
      return usable.some(({ id }) => id === server.id) ? undefined : 'leaves';
    }
    return servers.available(service).some(({ id }) => id === server.id) ? undefined : 'not_listed';
  }
}
