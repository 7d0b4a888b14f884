import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { MemoryReservation } from '../backend/memory-reservation.js';
import type { SendPermit } from '../notices/permit-client.js';
import type { PlannedStream, PlanRequest } from '../planning/plan-request.js';
import type { CallerHead, PrefillEngineAddress } from '../ports.js';
import type { AdmittedRequest } from './admit.js';
import type { RelayParts } from './relay-parts.js';

/** A plan and what it was asked for. */
export interface StreamPlan {
  readonly request: PlanRequest;
  readonly stream: PlannedStream;
  /** The host that made it. */
  readonly planner: string;
}

/** A server that is to be tried, and how it was chosen. */
export interface Choice {
  /** Names the attempt. */
  readonly attemptId: string;
  readonly server: BackendServer;
  /** What was planned for and how; undefined for plain services. */
  readonly plan: StreamPlan | undefined;
  /** Engines that read parts of the prompt, in the order of the plan. */
  readonly readers: readonly BackendServer[];
  /** Memory on other engines; undefined where none is needed. */
  readonly held: MemoryReservation | undefined;
  /** Places that it was given of servers that name limits; undefined where none was asked for. */
  readonly permit: SendPermit | undefined;
}

/** What a choice is made for. */
export interface ChoiceInputs {
  readonly parts: RelayParts;
  readonly caller: CallerHead;
  readonly admitted: AdmittedRequest;
  readonly arrivedAtMs: Milliseconds;
  readonly deadlineAtMs: Milliseconds;
  /** Since when the caller has heard nothing. */
  readonly callerSilentSinceMs: () => Milliseconds;
  /** Servers that failed this request already. */
  readonly failedIds: ReadonlySet<string>;
  /** Servers that were chosen and that the gate let nothing through to. */
  readonly blockedIds: ReadonlySet<string>;
  /** Names what is asked, whatever try it is; costs a hash of the body. */
  readonly content: () => string;
  /** Called when the engine no longer answers for which memory is held elsewhere. */
  readonly onDecodeEngineLost: (writer: BackendServer) => void;
  /** Whether there is nothing left to choose for. */
  readonly isFinished: () => boolean;
}

/**
 * `refused`: no server can take it, why, and when one may, where that is known. `over`: the caller has
 * left or the time is up.
 */
export type ChoiceOutcome =
  | { readonly kind: 'choice'; readonly choice: Choice }
  | { readonly kind: 'refused'; readonly why: string; readonly retryAfterMs?: Milliseconds }
  | { readonly kind: 'over' };

/** `resting`: each server that is listed wants rest, the first for `nextMs` still. */
export type ImmediateOutcome =
  ChoiceOutcome | { readonly kind: 'resting'; readonly nextUsableInMs: Milliseconds };

/**
 * Servers that come last for a request: those that failed it or were held back, and for one that was turned away before those that turn
 * requests away lately, where there are others.
 */
export function deprioritizedIds(inputs: ChoiceInputs): ReadonlySet<string> {
  const { parts, admitted, failedIds, blockedIds } = inputs;
  if (failedIds.size === 0) return blockedIds;
  const { clock, gate, recentRejections } = parts;
  const usable = gate.usableServers(admitted.service);
  const recovering = usable.filter((server) => gate.isRecovering(server)).map(({ id }) => id);
  const rejecting = recentRejections.recentIds(clock.monotonicMs());
  const all = new Set([...failedIds, ...blockedIds, ...recovering, ...rejecting]);
  return usable.every(({ id }) => all.has(id)) ? failedIds : all;
}

/** The engines that read parts, with the memory that is held there. */
export function prefillEnginesOf({ plan, readers, held }: Choice): readonly PrefillEngineAddress[] {
  const sharing = new Set(plan?.stream.shares.map(({ engineId }) => engineId));
  return readers.map(({ id, address, port }) => {
    const reservation = sharing.has(id) ? held?.id : undefined;
    return { address, port, reservation };
  });
}

/** The engine among the readers that `named` means, by id or `ADDRESS:PORT`. */
export function findPrefillEngine(
  { server, readers }: Choice,
  named: string | undefined,
): BackendServer | undefined {
  if (named === undefined || named === server.id) return undefined;
  return readers.find(
    ({ id, address, port }) => id === named || `${address}:${String(port)}` === named,
  );
}
