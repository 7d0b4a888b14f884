import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import { MemoryReservation } from '../backend/memory-reservation.js';
import type { PlannedStream, PlanRequest } from '../planning/plan-request.js';
import type { PlacementOutcome } from '../planning/placement-client.js';
import { deprioritizedIds } from './choice.js';
import type {
  Choice,
  ChoiceInputs,
  ChoiceOutcome,
  ImmediateOutcome,
  StreamPlan,
} from './choice.js';

/** Of an aim, the part for which a caller is kept that no server may be sent; the rest is for its answer. */
export const MAX_WAIT_TARGET_SHARE = 0.5;
/** Pause before a request is planned again whose plan could not be used. */
const REPLAN_DELAY_MS: Milliseconds = 10;

/** What a planner is asked for a request. */
export function toPlanRequest(inputs: ChoiceInputs, avoidedIds: Iterable<string>): PlanRequest {
  const { parts, caller, admitted, arrivedAtMs, callerSilentSinceMs, deadlineAtMs, failedIds } =
    inputs;
  const excludedIds = parts.gate.excludedIds(admitted.service);
  return {
    attemptId: randomId(),
    requestId: caller.requestId,
    host: parts.host,
    service: admitted.service,
    workspace: admitted.workspace ?? '',
    priority: admitted.priority,
    promptTokens: caller.promptTokens,
    answerTokens: caller.answerTokens,
    aimMs: admitted.route.aimMs,
    gapAimMs: admitted.route.gapAimMs,
    arrivedAtMs,
    callerSilentSinceMs: callerSilentSinceMs(),
    deadlineAtMs,
    isRepeated: failedIds.size > 0 || caller.lastEventId !== undefined,
    // Planners of releases that know of no exclusion avoid them at least.
    avoidedIds: [...avoidedIds, ...excludedIds],
    excludedIds,
    content: parts.gate.hasLimits ? inputs.content() : undefined,
    // A stream that is taken up again is waited for from its last event on.
    waitsForPermitUntilMs: callerSilentSinceMs() + admitted.route.aimMs * MAX_WAIT_TARGET_SHARE,
  };
}

/** The servers of a plan, or the ids of those that may take no work by what this host knows. */
function resolveServers(
  { parts, admitted }: ChoiceInputs,
  { writerId, readerIds }: PlannedStream,
): { readonly servers: readonly BackendServer[]; readonly unusableIds: readonly string[] } {
  const usable = parts.gate.usableServers(admitted.service);
  const servers: BackendServer[] = [];
  const unusableIds: string[] = [];
  for (const id of [writerId, ...readerIds]) {
    const server = usable.find((candidate) => candidate.id === id);
    if (server) servers.push(server);
    else unusableIds.push(id);
  }
  return { servers, unusableIds };
}

/** Holds memory on the engines that share the prompt; undefined where one had none. */
function reserveShares(
  { parts, caller, onDecodeEngineLost }: ChoiceInputs,
  decodeEngine: BackendServer,
  readers: readonly BackendServer[],
  { shares }: PlannedStream,
): Promise<MemoryReservation | undefined> {
  return MemoryReservation.acquire(parts, randomId(), {
    requestId: caller.requestId,
    decodeEngine,
    needs: shares.flatMap(({ engineId, tokens }) => {
      const server = readers.find(({ id }) => id === engineId);
      return server ? [{ server, tokens }] : [];
    }),
    onDecodeEngineLost,
  });
}

/** The choice that a plan amounts to; undefined where the memory that it needs was not to be had. */
async function choiceFromPlan(
  inputs: ChoiceInputs,
  plan: StreamPlan,
  [server, ...readers]: readonly BackendServer[],
): Promise<Choice | undefined> {
  if (!server) return undefined;
  const { request, stream } = plan;
  const grantedAtMs = inputs.parts.clock.monotonicMs();
  const permit = { serverIds: stream.permittedIds, grantedAtMs };
  const choice = { attemptId: request.attemptId, server, plan, readers, held: undefined, permit };
  if (stream.shares.length === 0) return choice;
  const held = await reserveShares(inputs, server, readers, stream);
  return held && { ...choice, held };
}

/** A long prompt that gives way to others may find room once their reads, which take up to an aim, end. */
const YIELDED_RETRY_TARGET_SHARE = 0.5;

/** The refusal of a planner, for the caller. */
export function refusalOf(
  { rule, retryAfterMs, detail }: Extract<PlacementOutcome, { kind: 'refuse' }>,
  { aimMs }: Route,
): ChoiceOutcome {
  if (rule === 'limited') {
    const why = `all servers of the service name limits: ${detail ?? 'none takes more now'}`;
    return { kind: 'refused', why, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  }
  if (rule !== 'engines_needed_by_timely') return { kind: 'refused', why: rule };
  return { kind: 'refused', why: rule, retryAfterMs: aimMs * YIELDED_RETRY_TARGET_SHARE };
}

/** Has a stream planned until its plan can be used, and holds the memory that the plan needs. */
export async function chooseEngines(inputs: ChoiceInputs): Promise<ImmediateOutcome> {
  const { parts, admitted, isFinished } = inputs;
  const avoidedIds = new Set(deprioritizedIds(inputs));
  for (;;) {
    const request = toPlanRequest(inputs, avoidedIds);
    const placed = await parts.placement.place(request, isFinished);
    if (placed.kind === 'over') return placed;
    if (placed.kind === 'refuse') return refusalOf(placed, admitted.route);
    const { stream, planner } = placed;
    const { servers, unusableIds } = resolveServers(inputs, stream);
    const isUsable = unusableIds.length === 0;
    const choice = isUsable
      ? await choiceFromPlan(inputs, { request, stream, planner }, servers)
      : undefined;
    if (choice) return { kind: 'choice', choice };
    parts.peers.end(request.attemptId, admitted.service);
    for (const id of unusableIds) avoidedIds.add(id);
    const nextUsableInMs = parts.gate.nextUsableInMs(admitted.service);
    if (nextUsableInMs === undefined) {
      return { kind: 'refused', why: 'no server of the service is listed' };
    }
    if (nextUsableInMs > 0) return { kind: 'resting', nextUsableInMs };
    await delay(parts.clock, REPLAN_DELAY_MS);
  }
}
