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
export type SendBlock = 'leaves' | 'rests' | 'not_listed' | 'limited';

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
  tryTake(server: BackendServer): Promise<SendPermit | undefined>;
  noteUsed(server: BackendServer): void;
}

const NO_PERMITS: PermitSource = {
  tryTake: () => Promise.resolve(undefined),
  noteUsed: () => undefined,
};

/**
 * Callers that are refused while all servers rest come back over this time after the first rest: all at once would
 * begin the next one. About as long as a server takes to be returned to by steps.
 */
const CALLERS_SPREAD_MS: Milliseconds = 500;
/** A place of a limit that is not used for so long is void; others come in since. */
const PERMIT_MS: Milliseconds = 1000;
/** What had waited for this process while it stood still is taken in within this time. */
const AFTER_PAUSE_MS: Milliseconds = 100;
/** A server that is returned to by steps takes the next request when one has its answer. */
const NEXT_STEP_MS: Milliseconds = 20;

/**
 * Whether a server may be sent anything by this host, by what the server said itself. What is avoided is a preference
 * and gives way where too many are; this does not. Whoever chooses asks it, and so does whoever sends, right before
 * the first byte: choices are made elsewhere, or earlier.
 */
export class SendGate {
  #permits: PermitSource = NO_PERMITS;
  #permitsFromMs: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(readonly parts: SendGateParts) {}

  /** Servers of a service that may be sent a request now, in an order that all hosts agree on. */
  usable(service: string): readonly BackendServer[] {
    const { rests, servers } = this.parts;
    const ready = servers.available(service);
    if (rests.size === 0 && ready.length > 0) return ready;
    const awake = this.#awake(ready);
    return awake.length > 0 ? awake : this.#awake(servers.lastResort(service));
  }

  /** Whether a server may rest, or want rest again as it is returned to. */
  isDoubtful(server: BackendServer): boolean {
    return this.parts.rests.isRecovering(server);
  }

  /** Ids of listed servers of a service that may be sent nothing now; for planners, which were told other things. */
  excludedIds(service: string): readonly string[] {
    const { rests, servers } = this.parts;
    const leaving = servers.leaving(service);
    if (rests.size === 0 && leaving.length === 0) return [];
    const usable = new Set(this.usable(service));
    return [...servers.available(service), ...leaving]
      .filter((server) => !usable.has(server))
      .map(({ id }) => id);
  }

  /**
   * How long until a server of a service may be sent a request that all turn away now; 0 where one may, undefined
   * where none is listed.
   */
  nextMs(service: string): Milliseconds | undefined {
    if (this.usable(service).length > 0) return 0;
    const { clock, rests, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    const listed = servers.available(service);
    if (listed.length === 0) return undefined;
    return Math.max(NEXT_STEP_MS, Math.min(...listed.map((server) => rests.leftMs(server, nowMs))));
  }

  /** When a caller may come back that is refused for want of a server that may be sent its request. */
  comeBackMs(nextMs: Milliseconds): Milliseconds {
    return nextMs + this.parts.random() * CALLERS_SPREAD_MS;
  }

  /**
   * To be asked right before an attempt is sent, which counts as sent where it may be. Otherwise the id of a server
   * that it would use and that may be sent nothing, and why.
   */
  tryTake(attempt: AttemptServers): { readonly id: string; readonly why: SendBlock } | undefined {
    const { attemptId, server, readers, permit } = attempt;
    const { clock, rests } = this.parts;
    for (const used of [server, ...readers]) {
      const why = this.#blockOf(used, used === server) ?? this.#limitBlock(used, permit);
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
  onOver(server: BackendServer, attemptId: string): void {
    this.parts.rests.onAttemptEnd(server, attemptId);
  }

  /** Places of limits are asked for at `permits`. */
  setPermitSource(permits: PermitSource): void {
    this.#permits = permits;
  }

  /** This process stood still: places that it is told of now were given long before. */
  onPause(): void {
    this.#permitsFromMs = this.parts.clock.monotonicMs() + AFTER_PAUSE_MS;
  }

  /** Whether any server names a limit for all hosts together, or did lately. */
  get knowsLimits(): boolean {
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
  tryOrder(server: BackendServer): boolean {
    const { clock, rests } = this.parts;
    if (!rests.tryReservationCommand(server, clock.monotonicMs())) return false;
    if (this.isLimited(server)) this.#permits.noteUsed(server);
    return true;
  }

  /** Whether a question may go to an engine. */
  async tryQuestion(server: BackendServer): Promise<boolean> {
    if (this.restLeftMs(server) > 0) return false;
    return !this.isLimited(server) || (await this.#permits.tryTake(server)) !== undefined;
  }

  /** How long the server rests still; 0 where it does not. */
  restLeftMs(server: BackendServer): Milliseconds {
    const { clock, rests } = this.parts;
    return rests.leftMs(server, clock.monotonicMs());
  }

  #awake(servers: readonly BackendServer[]): readonly BackendServer[] {
    const { clock, rests } = this.parts;
    const nowMs = clock.monotonicMs();
    return servers.filter((server) => rests.canSend(server, nowMs));
  }

  /** What a server gets from all hosts is counted where places are given, so nothing goes there without one. */
  #limitBlock(server: BackendServer, permit: SendPermit | undefined): SendBlock | undefined {
    if (!this.isLimited(server)) return undefined;
    if (!permit?.serverIds.includes(server.id)) return 'limited';
    const { givenAtMs } = permit;
    const isNew = this.parts.clock.monotonicMs() - givenAtMs < PERMIT_MS;
    return isNew && givenAtMs >= this.#permitsFromMs ? undefined : 'limited';
  }

  /** `takes`: whether it is sent the request itself, of which it is given one after the other after a rest. */
  #blockOf(server: BackendServer, takes: boolean): SendBlock | undefined {
    const { clock, rests, servers } = this.parts;
    const nowMs = clock.monotonicMs();
    const isResting = takes ? !rests.canSend(server, nowMs) : rests.leftMs(server, nowMs) > 0;
    if (isResting) return 'rests';
    const { service } = server;
    if (servers.isLeaving(server)) {
      return this.usable(service).some(({ id }) => id === server.id) ? undefined : 'leaves';
    }
    return servers.available(service).some(({ id }) => id === server.id) ? undefined : 'not_listed';
  }
}
