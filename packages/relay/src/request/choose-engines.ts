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

/**
 * Share of a latency target for which a request waits while no server may be sent it; the rest is
 * left for its response.
 */
export const MAX_WAIT_TARGET_SHARE = 0.5;
/** Delay before another plan is requested if a plan could not be used. */
const REPLAN_DELAY_MS: Milliseconds = 10;

/** Whether planners have to recognize the retries of refused callers. */
function needsContent({ parts, admitted }: ChoiceInputs): boolean {
  if (parts.gate.hasLimits || parts.gate.isBounded(admitted.service)) return true;
  return parts.activeConfiguration.table?.hasDifferentPriorities(admitted.service) ?? false;
}

/** The reason of a refusal while all servers are in a backoff. */
export const ALL_REST = 'all servers of the service want rest';

/** Returns the plan request for a caller's request. */
export function toPlanRequest(inputs: ChoiceInputs, avoidedIds: Iterable<string>): PlanRequest {
  const { parts, caller, admitted, arrivedAtMs, callerSilentSinceMs, deadlineAtMs, failedIds } =
    inputs;
  const excludedIds = parts.gate.excludedIds(admitted.service, admitted.allowedRegions);
  return {
    attemptId: randomId(),
    requestId: caller.requestId,
    host: parts.host,
    service: admitted.service,
    workspace: admitted.workspace ?? '',
    priority: admitted.planningPriority,
    promptTokens: caller.promptTokens,
    answerTokens: caller.answerTokens,
    aimMs: admitted.route.aimMs,
    gapAimMs: admitted.route.gapAimMs,
    arrivedAtMs,
    callerSilentSinceMs: callerSilentSinceMs(),
    deadlineAtMs,
    isRepeated: failedIds.size > 0 || caller.lastEventId !== undefined,
    // Planners of releases without `excludedIds` at least avoid these servers.
    avoidedIds: [...avoidedIds, ...excludedIds],
    excludedIds,
    allowedRegions: admitted.allowedRegions,
    content: needsContent(inputs) ? inputs.content() : undefined,
    // For a resumed stream the wait counts from its last event.
    waitsForPermitUntilMs: callerSilentSinceMs() + admitted.route.aimMs * MAX_WAIT_TARGET_SHARE,
  };
}

/** Returns the servers of a plan, and the ids of those that this host may send no work. */
function resolveServers(
  { parts, admitted }: ChoiceInputs,
  { writerId, readerIds }: PlannedStream,
): { readonly servers: readonly BackendServer[]; readonly unusableIds: readonly string[] } {
  const usable = parts.gate.usableServers(admitted.service, admitted.allowedRegions);
  const servers: BackendServer[] = [];
  const unusableIds: string[] = [];
  for (const id of [writerId, ...readerIds]) {
    const server = usable.find((candidate) => candidate.id === id);
    if (server) servers.push(server);
    else unusableIds.push(id);
  }
  return { servers, unusableIds };
}

/**
 * Reserves memory on the engines that share the prompt; returns undefined if one of them does not
 * reserve it.
 */
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

/**
 * Turns a plan into a choice; returns undefined if the memory that it needs could not be reserved.
 */
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

/**
 * Retry delay, in latency targets, of a long prompt that yields to others: it may find room when
 * their prefills, which take up to one target, have ended.
 */
const YIELDED_RETRY_TARGET_SHARE = 0.5;

/** Why servers take no more requests, by the number of cold ones among them. */
function limitReason(coldCount: number | undefined): string {
  if (coldCount === undefined) return 'name limits';
  return coldCount === 0 ? 'may turn cold or name limits' : 'are cold or name limits';
}

/** Turns a planner's refusal into the refusal for the caller. */
export function refusalOf(
  { rule, retryAfterMs, detail, coldCount }: Extract<PlacementOutcome, { kind: 'refuse' }>,
  { aimMs }: Route,
): ChoiceOutcome {
  if (rule === 'limited') {
    const why = `all servers of the service ${limitReason(coldCount)}: ${detail ?? 'none accepts more now'}`;
    return { kind: 'refused', why, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  }
  if (rule === 'overloaded') {
    const why = `the engines are overloaded: ${detail ?? 'more urgent requests take them'}`;
    return { kind: 'refused', why, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  }
  if (rule !== 'engines_needed_by_timely') return { kind: 'refused', why: rule };
  return { kind: 'refused', why: rule, retryAfterMs: aimMs * YIELDED_RETRY_TARGET_SHARE };
}

/** Requests plans for a stream until one can be used, and reserves the memory that it needs. */
export async function chooseEngines(inputs: ChoiceInputs): Promise<ImmediateOutcome> {
  const { parts, admitted, isFinished } = inputs;
  const avoidedIds = new Set(deprioritizedIds(inputs));
  for (let isPlannedAgain = false; ; isPlannedAgain = true) {
    const request = { ...toPlanRequest(inputs, avoidedIds), isPlannedAgain };
    const placed = await parts.placement.place(request, isFinished);
    if (placed.kind === 'over') return placed;
    if (placed.kind === 'refuse') {
      const { gate, servers } = parts;
      const { service, route } = admitted;
      const isEvacuated =
        servers.hasEvacuated(service) &&
        gate.nextUsableInMs(service, admitted.allowedRegions) === undefined;
      if (!isEvacuated) return refusalOf(placed, route);
      return { kind: 'refused', why: gate.unusableReason(service, admitted.allowedRegions) };
    }
    const { stream, planner } = placed;
    const { servers, unusableIds } = resolveServers(inputs, stream);
    const isUsable = unusableIds.length === 0;
    const choice = isUsable
      ? await choiceFromPlan(inputs, { request, stream, planner }, servers)
      : undefined;
    if (choice) return { kind: 'choice', choice };
    parts.peers.end(request.attemptId, admitted.service);
    for (const id of unusableIds) avoidedIds.add(id);
    const { service, allowedRegions } = admitted;
    const nextUsableInMs = parts.gate.nextUsableInMs(service, allowedRegions);
    if (nextUsableInMs === undefined) {
      return { kind: 'refused', why: parts.gate.unusableReason(service, allowedRegions) };
    }
    if (nextUsableInMs > 0) return { kind: 'resting', nextUsableInMs, why: ALL_REST };
    await delay(parts.clock, REPLAN_DELAY_MS);
  }
}
