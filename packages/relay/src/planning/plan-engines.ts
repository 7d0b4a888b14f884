import type { Milliseconds } from '@poppypond/core';
import { callerIdleTimeoutMs, planStream, RegionShares } from '@poppypond/fleet';
import type {
  BackendServer,
  EngineLoad,
  FleetView,
  LatePromptPolicy,
  StreamDemand,
  StreamPlacement,
  StreamPlan,
  UsualTimes,
  ZoneRegions,
} from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';
import type { ServerList } from '../store/server-list.js';
import type { LimitedService } from './limited-servers.js';
import type { PlanAnswer, PlannedStream, PlanRequest } from './plan-request.js';
import type { EngineRegions } from './admission-windows.js';
import { usualTimes, withProbe } from './speed-probes.js';

/** What differs between the plans of one planner. */
export interface PlanOptions {
  /**
   * Decides about long prompts whose first event would be late; the default policy if undefined.
   */
  readonly latePromptPolicy?: LatePromptPolicy | undefined;
  /** Engines to plan over if the first event is in time there; undefined for no preference. */
  readonly preferred?: readonly BackendServer[] | undefined;
  /**
   * Whether a short prompt waits at the planner instead of on an engine where it would start too
   * late.
   */
  readonly boundsQueues?: boolean | undefined;
}

/** Inputs of a plan. */
export interface PlanInputs extends PlanOptions {
  /** On this process's clock; the same for all requests planned in one round. */
  readonly nowMs: Milliseconds;
  readonly fleet: FleetView;
  /** Rate limits of the service, which decide which engines may be sent another request. */
  readonly limited: LimitedService;
}

/** Orders servers for placement; earlier ones are filled first. */
export type ServerOrder = (servers: readonly BackendServer[]) => readonly BackendServer[];

/** The order of the server list, which all hosts share. */
export const inListOrder: ServerOrder = (servers) => servers;

/** Returns `servers` without those in `avoidedIds`; all of them if none would be left. */
export function without(
  servers: readonly BackendServer[],
  avoidedIds: Iterable<string>,
): readonly BackendServer[] {
  const avoided = new Set(avoidedIds);
  const left = servers.filter((server) => !avoided.has(server.id));
  return left.length > 0 ? left : servers;
}

/**
 * Servers that the requesting host may send the request to; leaving servers only if there is no
 * other.
 */
export function allowedServers(
  servers: ServerList,
  { service, excludedIds, allowedRegions }: PlanRequest,
  regions: ZoneRegions,
): readonly BackendServer[] {
  const excluded = new Set(excludedIds);
  const isAllowed = (server: BackendServer) =>
    !excluded.has(server.id) && regions.allows(server, allowedRegions);
  const allowed = servers.available(service).filter(isAllowed);
  return allowed.length > 0 ? allowed : servers.lastResort(service).filter(isAllowed);
}

/** Where the engines of a service are that accept work. */
export function engineRegions(
  servers: ServerList,
  service: string,
  regions: ZoneRegions,
): EngineRegions {
  const regionOf = (server: BackendServer) => regions.regionOf(server);
  const engines = new Map<string | undefined, number>();
  for (const server of servers.available(service))
    engines.set(regionOf(server), (engines.get(regionOf(server)) ?? 0) + 1);
  return { shares: new RegionShares(engines), regionOf };
}

/** Time from its arrival after which the request's caller is expected to have disconnected. */
function callerTimeoutMs(request: PlanRequest): Milliseconds {
  const { aimMs, gapAimMs, arrivedAtMs, callerSilentSinceMs, deadlineAtMs } = request;
  const disconnectsAtMs = callerSilentSinceMs + callerIdleTimeoutMs(aimMs, gapAimMs);
  return Math.min(deadlineAtMs, disconnectsAtMs) - arrivedAtMs;
}

function toPlannedStream(
  placement: StreamPlacement,
  permittedIds: readonly string[],
  usual: UsualTimes | undefined,
): PlannedStream {
  const { rule, writer, readers, partMs, shares, expectedFirstMs } = placement;
  return {
    rule,
    writerId: writer.server.id,
    readerIds: readers.map(({ server }) => server.id),
    partMs,
    shares: shares.map(({ engine, tokens }) => ({ engineId: engine.server.id, tokens })),
    expectedFirstMs,
    writersBefore: writer.writers,
    readingBeforeMs: writer.pendingPrefillMs,
    permittedIds,
    ...(usual && { usual }),
  };
}

/**
 * Plans over all engines, and plans again if that uses rate-limited engines for partial prefills:
 * each part costs a permit there that a whole prompt could use.
 */
function planSparingPermits(
  loads: readonly EngineLoad[],
  { limited, latePromptPolicy }: PlanInputs,
  figures: EngineFigures,
  demand: StreamDemand,
): StreamPlan {
  const plan = planStream(loads, figures, demand, latePromptPolicy);
  if (plan.kind !== 'place') return plan;
  if (!plan.readers.some(({ server }) => limited.isLimited(server))) return plan;
  const unlimited = loads.filter(({ server }) => !limited.isLimited(server));
  if (unlimited.length > 0) return planStream(unlimited, figures, demand, latePromptPolicy);
  const alone = planStream([plan.writer], figures, demand, latePromptPolicy);
  return alone.kind === 'place' ? alone : plan;
}

/** Whether a plan starts a stream without a delay for the answers that its engine decodes. */
function hasRoom(plan: StreamPlan): boolean {
  return plan.kind === 'place' && plan.rule !== 'least_busy';
}

/**
 * Plans over warm engines, and over cold ones too if the warm ones have no room. Their permits bound
 * what cold engines get; this preference keeps the permits for requests that need them.
 */
function planPreferringWarm(
  loads: readonly EngineLoad[],
  inputs: PlanInputs,
  figures: EngineFigures,
  demand: StreamDemand,
): StreamPlan {
  const warm = loads.filter(({ server }) => !inputs.limited.isCold(server));
  if (warm.length === 0 || warm.length === loads.length)
    return planSparingPermits(loads, inputs, figures, demand);
  const plan = planSparingPermits(warm, inputs, figures, demand);
  return hasRoom(plan) ? plan : planSparingPermits(loads, inputs, figures, demand);
}

/**
 * Whether a plan over some of the engines is as good as one over all: it is in time, and uses
 * neither cold engines nor engines that failed lately.
 */
function isGood(
  plan: StreamPlan,
  { aimMs, waitedMs }: StreamDemand,
  { limited }: PlanInputs,
): boolean {
  if (plan.kind !== 'place' || waitedMs + plan.expectedFirstMs > aimMs) return false;
  return [plan.writer, ...plan.readers].every(
    ({ server, avoidedMs }) => avoidedMs <= 0 && !limited.isCold(server),
  );
}

/**
 * A short prompt queues on an engine if its first event is expected within this multiple of its
 * target. With 1.5 at five times the usual rate of urgent requests, nearly all of them are late: 42
 * a second are in time instead of 70.
 */
const MAX_QUEUED_TARGETS = 1;

/** Whether a short prompt would queue on an engine for too long. */
function queuesTooLong(plan: StreamPlan, { aimMs, waitedMs }: StreamDemand): boolean {
  if (plan.kind !== 'place' || plan.rule !== 'least_busy') return false;
  const firstMs = plan.writer.slotWaitMs + plan.expectedFirstMs;
  return waitedMs + firstMs > aimMs * MAX_QUEUED_TARGETS;
}

/**
 * Plans a stream over the engines that accept work now; `available` are those whose rate limits
 * allow another request.
 */
export function planEngines(
  inputs: PlanInputs,
  figures: EngineFigures,
  request: PlanRequest,
  available: readonly BackendServer[],
  order: ServerOrder,
): PlanAnswer {
  const { fleet, limited, nowMs } = inputs;
  const loadsOf = (servers: readonly BackendServer[]) =>
    order(without(servers, request.avoidedIds)).map((server) => fleet.load(server, figures, nowMs));
  const demand = {
    promptTokens: request.promptTokens,
    answerTokens: request.answerTokens,
    aimMs: request.aimMs,
    waitedMs: nowMs - request.arrivedAtMs,
    callerTimeoutMs: callerTimeoutMs(request),
    isRepeated: request.isRepeated,
  };
  const planOver = (servers: readonly BackendServer[]) =>
    planPreferringWarm(loadsOf(servers), inputs, figures, demand);
  const preferred = inputs.preferred && planOver(inputs.preferred);
  const plan = preferred && isGood(preferred, demand, inputs) ? preferred : planOver(available);
  if (plan.kind !== 'place') return plan;
  if (inputs.boundsQueues && queuesTooLong(plan, demand))
    return { kind: 'wait', rule: 'waits_for_turn' };
  const placed = withProbe(plan, inputs, figures, without(available, request.avoidedIds));
  const used = [placed.writer, ...placed.readers].map(({ server }) => server);
  const reservedIds = placed.shares.map(({ engine }) => engine.server.id);
  const { speeds } = fleet;
  for (const { id } of used) speeds.onUsed(id, nowMs);
  const usual = speeds.isEnabled ? usualTimes(placed, figures, demand) : undefined;
  const granted = limited.grant(used, reservedIds);
  return { kind: 'place', stream: toPlannedStream(placed, granted, usual) };
}
