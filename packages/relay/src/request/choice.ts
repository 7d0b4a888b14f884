import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { MemoryReservation } from '../backend/memory-reservation.js';
import type { SendPermit } from '../notices/permit-client.js';
import type { PlannedStream, PlanRequest } from '../planning/plan-request.js';
import type { CallerHead, PrefillEngineAddress } from '../ports.js';
import type { AdmittedRequest } from './admit.js';
import type { RelayParts } from './relay-parts.js';

/** A plan for a stream, with the request that it answers. */
export interface StreamPlan {
  readonly request: PlanRequest;
  readonly stream: PlannedStream;
  /** The host that made the plan. */
  readonly planner: string;
}

/** The server that was chosen for an attempt, with its plan, reservation and permit. */
export interface Choice {
  /** Identifies the attempt. */
  readonly attemptId: string;
  readonly server: BackendServer;
  /** The plan; undefined for plain services. */
  readonly plan: StreamPlan | undefined;
  /** Engines that prefill parts of the prompt, in the order of the plan. */
  readonly readers: readonly BackendServer[];
  /** Reserved memory on other engines; undefined if none is needed. */
  readonly held: MemoryReservation | undefined;
  /** Permits for rate-limited servers; undefined if none were requested. */
  readonly permit: SendPermit | undefined;
}

/** The request that a server is chosen for, and its state. */
export interface ChoiceInputs {
  readonly parts: RelayParts;
  readonly caller: CallerHead;
  readonly admitted: AdmittedRequest;
  readonly arrivedAtMs: Milliseconds;
  readonly deadlineAtMs: Milliseconds;
  /** When the caller was last sent something, or the request's arrival. */
  readonly callerSilentSinceMs: () => Milliseconds;
  /** Ids of servers that failed this request. */
  readonly failedIds: ReadonlySet<string>;
  /** Ids of servers that were chosen and then blocked by the send gate. */
  readonly blockedIds: ReadonlySet<string>;
  /**
   * Returns the content id, which is the same for all tries of the request; computes a hash of the
   * body.
   */
  readonly content: () => string;
  /**
   * Called when the decode engine no longer answers status queries while memory is reserved on
   * other engines.
   */
  readonly onDecodeEngineLost: (engine: BackendServer) => void;
  /** Whether the caller has disconnected or the deadline has passed. */
  readonly isFinished: () => boolean;
}

/**
 * `refused`: no server can take the request; `why` tells the reason and `retryAfterMs`, if known,
 * when one may. `over`: the caller has disconnected or the deadline has passed.
 */
export type ChoiceOutcome =
  | { readonly kind: 'choice'; readonly choice: Choice }
  | { readonly kind: 'refused'; readonly why: string; readonly retryAfterMs?: Milliseconds }
  | { readonly kind: 'over' };

/**
 * `resting`: no listed server may be sent the request now, for the reason `why`, and one may be in
 * `nextUsableInMs`.
 */
export type ImmediateOutcome =
  | ChoiceOutcome
  | { readonly kind: 'resting'; readonly nextUsableInMs: Milliseconds; readonly why: string };

/**
 * Returns the ids of servers that are chosen last for a request: those that failed it or were
 * blocked. Once it has failed, also those in a ramp-up after a backoff and those that recently
 * rejected requests; if no other usable server remains, only those that failed it.
 */
export function deprioritizedIds(inputs: ChoiceInputs): ReadonlySet<string> {
  const { parts, admitted, failedIds, blockedIds } = inputs;
  if (failedIds.size === 0) return blockedIds;
  const { clock, gate, recentRejections } = parts;
  const usable = gate.usableServers(admitted.service, admitted.allowedRegions);
  const recovering = usable.filter((server) => gate.isRecovering(server)).map(({ id }) => id);
  const rejecting = recentRejections.recentIds(clock.monotonicMs());
  const all = new Set([...failedIds, ...blockedIds, ...recovering, ...rejecting]);
  return usable.every(({ id }) => all.has(id)) ? failedIds : all;
}

/** Returns the prefill engines with the memory that is reserved on each. */
export function prefillEnginesOf({ plan, readers, held }: Choice): readonly PrefillEngineAddress[] {
  const sharing = new Set(plan?.stream.shares.map(({ engineId }) => engineId));
  return readers.map(({ id, address, port }) => {
    const reservation = sharing.has(id) ? held?.id : undefined;
    return { address, port, reservation };
  });
}

/**
 * Returns the prefill engine that `named` identifies by id or `ADDRESS:PORT`; undefined if it is
 * none, or the decode engine.
 */
export function findPrefillEngine(
  { server, readers }: Choice,
  named: string | undefined,
): BackendServer | undefined {
  if (named === undefined || named === server.id) return undefined;
  return readers.find(
    ({ id, address, port }) => id === named || `${address}:${String(port)}` === named,
  );
}
