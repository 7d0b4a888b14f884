import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, ServerBackoffs, ServerLimits } from '@poppypond/fleet';
import type { ServerList } from '../store/server-list.js';
import type { SendPermit } from './permit-client.js';

/** What the gate needs. */
export interface SendGateParts {
  readonly clock: Clock;
  readonly servers: ServerList;
  readonly rests: ServerBackoffs;
  readonly limits: ServerLimits;
  /** Uniform random numbers in [0, 1). */
  readonly random: () => number;
}

/** Why a server may be sent nothing now. */
export type BlockReason = 'leaves' | 'rests' | 'not_listed' | 'limited';

/** Servers that one attempt is to use. */
export interface AttemptServers {
  readonly attemptId: string;
  readonly server: BackendServer;
  /** Engines that read parts of its prompt. */
  readonly readers: readonly BackendServer[];
  /** Places that it was given of those that name limits. */
  readonly permit?: SendPermit | undefined;
}

/** How places of limits are asked for. */
export interface PermitSource {
  tryAcquire(server: BackendServer): Promise<SendPermit | undefined>;
  recordUse(server: BackendServer): void;
}

const NO_PERMITS: PermitSource = {
  tryAcquire: () => Promise.resolve(undefined),
  recordUse: () => undefined,
};

/**
 * Callers that are refused while all servers rest come back over this time after the first rest: all at once would
 * begin the next one. About as long as a server takes to be returned to by steps.
 */
const CALLER_RETRY_JITTER_MS: Milliseconds = 500;
/** A place of a limit that is not used for so long is void; others come in since. */
const PERMIT_LIFETIME_MS: Milliseconds = 1000;
/** What had waited for this process while it stood still is taken in within this time. */
const PAUSE_BACKLOG_MS: Milliseconds = 100;
/** A server that is returned to by steps takes the next request when one has its answer. */
const RAMP_UP_POLL_MS: Milliseconds = 20;

/**
 * Whether a server may be sent anything by this host, by what the server said itself. What is avoided is a preference
 * and gives way where too many are; this does not. Whoever chooses asks it, and so does whoever sends, right before
 * the first byte: choices are made elsewhere, or earlier.
 */
export class SendGate {
  #permits: PermitSource = NO_PERMITS;
  #permitsValidFromMs: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(readonly parts: SendGateParts) {}

  /** Servers of a service that may be sent a request now, in an order that all hosts agree on. */
  usableServers(service: string): readonly BackendServer[] {
    const { rests, servers } = this.parts;
    const ready = servers.available(service);
    if (rests.size === 0 && ready.length > 0) return ready;
    const sendable = this.#sendable(ready);
    return sendable.length > 0 ? sendable : this.#sendable(servers.lastResort(service));
  }

  /** Whether a server may rest, or want rest again as it is returned to. */
  isRecovering(server: BackendServer): boolean {
    return this.parts.rests.isRecovering(server);
  }

  /** Ids of listed servers of a service that may be sent nothing now; for planners, which were told other things. */
  excludedIds(service: string): readonly string[] {
    const { rests, servers } = this.parts;
    const leaving = servers.leaving(service);
    if (rests.size === 0 && leaving.length === 0) return [];
    const usable = new Set(this.usableServers(service));
    return [...servers.available(service), ...leaving]
      .filter((server) => !usable.has(server))
      .map(({ id }) => id);
  }

  /**
   * How long until a server of a service may be sent a request that all turn away now; 0 where one may, undefined
   * where none is listed.
   */
  nextUsableInMs(service: string): Milliseconds | undefined {
    if (this.usableServers(service).length > 0) return 0;
    const { clock, rests, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    const listed = servers.available(service);
    if (listed.length === 0) return undefined;
    return Math.max(
      RAMP_UP_POLL_MS,
      Math.min(...listed.map((server) => rests.leftMs(server, nowMs))),
    );
  }

  /** When a caller may come back that is refused for want of a server that may be sent its request. */
  callerRetryDelayMs(nextUsableInMs: Milliseconds): Milliseconds {
    return nextUsableInMs + this.parts.random() * CALLER_RETRY_JITTER_MS;
  }

  /**
   * To be asked right before an attempt is sent, which counts as sent where it may be. Otherwise the id of a server
   * that it would use and that may be sent nothing, and why.
   */
  admitAttempt(
    attempt: AttemptServers,
  ): { readonly id: string; readonly why: BlockReason } | undefined {
    const { attemptId, server, readers, permit } = attempt;
    const { clock, rests } = this.parts;
    for (const used of [server, ...readers]) {
      const why = this.#findBlock(used, used === server) ?? this.#findLimitBlock(used, permit);
      if (why) return { id: used.id, why };
    }
    rests.onSent(server, attemptId, clock.monotonicMs());
    return undefined;
  }

  /** The head of an answer has come: the server took the request, and asks for no rest. */
  onAnswered(server: BackendServer, attemptId: string): void {
    this.parts.rests.onAnswered(server, attemptId);
  }

  /** An attempt is over. */
  onAttemptEnd(server: BackendServer, attemptId: string): void {
    this.parts.rests.onAttemptEnd(server, attemptId);
  }

  /** Places of limits are asked for at `permits`. */
  setPermitSource(permits: PermitSource): void {
    this.#permits = permits;
  }

  /** This process stood still: places that it is told of now were given long before. */
  onPause(): void {
    this.#permitsValidFromMs = this.parts.clock.monotonicMs() + PAUSE_BACKLOG_MS;
  }

  /** Whether any server names a limit for all hosts together, or did lately. */
  get hasLimits(): boolean {
    return this.parts.limits.size > 0;
  }

  /** Whether a server names a limit for all hosts together, or did lately. */
  isLimited(server: BackendServer): boolean {
    const { clock, limits } = this.parts;
    return limits.isLimited(server, clock.monotonicMs());
  }

  /**
   * Whether an order may go to an engine; the few that may while it rests are counted. One that names a limit gets
   * them all the same, counted: what a request uses there would be cut, or stay held.
   */
  tryReservationCommand(server: BackendServer): boolean {
    const { clock, rests } = this.parts;
    if (!rests.tryReservationCommand(server, clock.monotonicMs())) return false;
    if (this.isLimited(server)) this.#permits.recordUse(server);
    return true;
  }

  /** Whether a question may go to an engine. */
  async tryStatusQuery(server: BackendServer): Promise<boolean> {
    if (this.backoffLeftMs(server) > 0) return false;
    return !this.isLimited(server) || (await this.#permits.tryAcquire(server)) !== undefined;
  }

  /** How long the server rests still; 0 where it does not. */
  backoffLeftMs(server: BackendServer): Milliseconds {
    const { clock, rests } = this.parts;
    return rests.leftMs(server, clock.monotonicMs());
  }

  #sendable(servers: readonly BackendServer[]): readonly BackendServer[] {
    const { clock, rests } = this.parts;
    const nowMs = clock.monotonicMs();
    return servers.filter((server) => rests.canSend(server, nowMs));
  }

  /** What a server gets from all hosts is counted where places are given, so nothing goes there without one. */
  #findLimitBlock(server: BackendServer, permit: SendPermit | undefined): BlockReason | undefined {
    if (!this.isLimited(server)) return undefined;
    if (!permit?.serverIds.includes(server.id)) return 'limited';
    const { grantedAtMs } = permit;
    const isFresh = this.parts.clock.monotonicMs() - grantedAtMs < PERMIT_LIFETIME_MS;
    return isFresh && grantedAtMs >= this.#permitsValidFromMs ? undefined : 'limited';
  }

  /** `takes`: whether it is sent the request itself, of which it is given one after the other after a rest. */
  #findBlock(server: BackendServer, receivesRequest: boolean): BlockReason | undefined {
    const { clock, rests, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    const isBackingOff = receivesRequest
      ? !rests.canSend(server, nowMs)
      : rests.leftMs(server, nowMs) > 0;
    if (isBackingOff) return 'rests';
    const { service } = server;
    if (servers.isLeaving(server)) {
      return this.usableServers(service).some(({ id }) => id === server.id) ? undefined : 'leaves';
    }
    return servers.available(service).some(({ id }) => id === server.id) ? undefined : 'not_listed';
  }
}
