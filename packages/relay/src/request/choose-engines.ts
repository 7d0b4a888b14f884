import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { Route } from '@poppypond/routing';
import { HeldMemory } from '../backend/held-memory.js';
import type { PlannedStream, PlanRequest } from '../planning/plan-request.js';
import type { PlacementOutcome } from '../planning/placement-client.js';
import { lastChoices } from './choice.js';
import type { Choice, ChoiceInputs, Chosen, ChosenAtOnce, StreamPlan } from './choice.js';

/** Of an aim, the part for which a caller is kept that no server may be sent; the rest is for its answer. */
export const WAITED_AIM_SHARE = 0.5;
/** Pause before a request is planned again whose plan could not be used. */
const PLAN_AGAIN_MS: Milliseconds = 10;

/** What a planner is asked for a request. */
export function toPlanRequest(inputs: ChoiceInputs, avoidedIds: Iterable<string>): PlanRequest {
  const { parts, caller, admitted, arrivedAtMs, silentSinceMs, limitAtMs, failedIds } = inputs;
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
    callerSilentSinceMs: silentSinceMs(),
    deadlineAtMs: limitAtMs,
    isRepeated: failedIds.size > 0 || caller.lastEventId !== undefined,
    // Planners of releases that know of no exclusion avoid them at least.
    avoidedIds: [...avoidedIds, ...excludedIds],
    excludedIds,
    content: parts.gate.knowsLimits ? inputs.content() : undefined,
    // A stream that is taken up again is waited for from its last event on.
    waitsForPermitUntilMs: silentSinceMs() + admitted.route.aimMs * WAITED_AIM_SHARE,
  };
}

/** The servers of a plan, or the ids of those that may take no work by what this host knows. */
function findServers(
  { parts, admitted }: ChoiceInputs,
  { writerId, readerIds }: PlannedStream,
): { readonly servers: readonly BackendServer[]; readonly unusableIds: readonly string[] } {
  const usable = parts.gate.usable(admitted.service);
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
function holdShares(
  { parts, caller, onWriterLost }: ChoiceInputs,
  writer: BackendServer,
  readers: readonly BackendServer[],
  { shares }: PlannedStream,
): Promise<HeldMemory | undefined> {
  return HeldMemory.take(parts, randomId(), {
    requestId: caller.requestId,
    writer,
    needs: shares.flatMap(({ engineId, tokens }) => {
      const server = readers.find(({ id }) => id === engineId);
      return server ? [{ server, tokens }] : [];
    }),
    onWriterLost,
  });
}

/** The choice that a plan amounts to; undefined where the memory that it needs was not to be had. */
async function chooseAsPlanned(
  inputs: ChoiceInputs,
  plan: StreamPlan,
  [server, ...readers]: readonly BackendServer[],
): Promise<Choice | undefined> {
  if (!server) return undefined;
  const { request, stream } = plan;
  const givenAtMs = inputs.parts.clock.monotonicMs();
  const permit = { serverIds: stream.permittedIds, givenAtMs };
  const choice = { attemptId: request.attemptId, server, plan, readers, held: undefined, permit };
  if (stream.shares.length === 0) return choice;
  const held = await holdShares(inputs, server, readers, stream);
  return held && { ...choice, held };
}

/** A long prompt that gives way to others may find room once their reads, which take up to an aim, end. */
const GIVEN_WAY_RETRY_AIMS = 0.5;

/** The refusal of a planner, for the caller. */
export function refusedBy(
  { rule, retryAfterMs, detail }: Extract<PlacementOutcome, { kind: 'refuse' }>,
  { aimMs }: Route,
): Chosen {
  if (rule === 'limited') {
    const why = `all servers of the service name limits: ${detail ?? 'none takes more now'}`;
    return { kind: 'refused', why, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
  }
  if (rule !== 'engines_needed_by_timely') return { kind: 'refused', why: rule };
  return { kind: 'refused', why: rule, retryAfterMs: aimMs * GIVEN_WAY_RETRY_AIMS };
}

/** Has a stream planned until its plan can be used, and holds the memory that the plan needs. */
export async function chooseEngines(inputs: ChoiceInputs): Promise<ChosenAtOnce> {
  const { parts, admitted, isOver } = inputs;
  const avoidedIds = new Set(lastChoices(inputs));
  for (;;) {
    const request = toPlanRequest(inputs, avoidedIds);
    const placed = await parts.placement.place(request, isOver);
    if (placed.kind === 'over') return placed;
    if (placed.kind === 'refuse') return refusedBy(placed, admitted.route);
    const { stream, planner } = placed;
    const { servers, unusableIds } = findServers(inputs, stream);
    const isUsable = unusableIds.length === 0;
    const choice = isUsable
      ? await chooseAsPlanned(inputs, { request, stream, planner }, servers)
      : undefined;
    if (choice) return { kind: 'choice', choice };
    parts.peers.end(request.attemptId, admitted.service);
    for (const id of unusableIds) avoidedIds.add(id);
    const nextMs = parts.gate.nextMs(admitted.service);
    if (nextMs === undefined) {
      return { kind: 'refused', why: 'no server of the service is listed' };
    }
    if (nextMs > 0) return { kind: 'resting', nextMs };
    await delay(parts.clock, PLAN_AGAIN_MS);
  }
}
