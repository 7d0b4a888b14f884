import type { Clock, Milliseconds } from '@poppypond/core';
import {
  LATE_PATIENCE_AIMS,
  LONG_READ_MS,
  planStream,
  readTimeMs,
  readTurns,
} from '@poppypond/fleet';
import type {
  BackendServer,
  EngineLoad,
  FleetView,
  ReadQueue,
  StreamPlacement,
  WaitingRead,
} from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';
import type { ServerList } from '../store/server-list.js';
import type { PlanAnswer, PlannedStream, PlanRequest } from './plan-request.js';

/** What a plan is made from. */
export interface PlanInputs {
  readonly clock: Clock;
  readonly servers: ServerList;
  readonly fleet: FleetView;
  readonly queue: ReadQueue;
}

/** Brings servers into the order in which they are filled. */
export type ServerOrder = (servers: readonly BackendServer[]) => readonly BackendServer[];

/** The order that all hosts agree on, in which the list has them. */
export const inAgreedOrder: ServerOrder = (servers) => servers;

/** `servers` without those in `avoidedIds`; all of them where none is left. */
export function without(
  servers: readonly BackendServer[],
  avoidedIds: Iterable<string>,
): readonly BackendServer[] {
  const avoided = new Set(avoidedIds);
  const left = servers.filter((server) => !avoided.has(server.id));
  return left.length > 0 ? left : servers;
}

function toWaitingRead(
  request: PlanRequest,
  readMs: Milliseconds,
  isYielding: boolean,
): WaitingRead {
  const { requestId, arrivedAtMs, aimMs, limitAtMs } = request;
  return {
    requestId,
    readMs,
    aimAtMs: arrivedAtMs + aimMs,
    overdueAtMs: arrivedAtMs + aimMs * LATE_PATIENCE_AIMS,
    isYielding,
    expiresAtMs: limitAtMs,
  };
}

/** Whether a long prompt's turn has come: fewer are read or waiting before it than there are turns. */
function isItsTurn(
  { clock, fleet, queue }: PlanInputs,
  read: WaitingRead,
  loads: readonly EngineLoad[],
  figures: EngineFigures,
): boolean {
  const nowMs = clock.monotonicMs();
  const before = fleet.longReadsRunning(nowMs) + queue.countBefore(read, nowMs);
  return before < readTurns(loads, figures);
}

function toPlannedStream(placement: StreamPlacement): PlannedStream {
  const { rule, writer, readers, partMs, shares, expectedFirstMs } = placement;
  return {
    rule,
    writerId: writer.server.id,
    readerIds: readers.map(({ server }) => server.id),
    partMs,
    shares: shares.map(({ engine, tokens }) => ({ engineId: engine.server.id, tokens })),
    expectedFirstMs,
    writersBefore: writer.writers,
    readingBeforeMs: writer.pendingReadMs,
  };
}

/** Plans a stream over the engines that may take work now; long prompts wait in the queue for turns. */
export function planEngines(
  inputs: PlanInputs,
  figures: EngineFigures,
  request: PlanRequest,
  order: ServerOrder,
): PlanAnswer {
  const { clock, fleet, queue, servers } = inputs;
  const nowMs = clock.monotonicMs();
  const usable = order(without(servers.available(request.service), request.avoidedIds));
  const loads = usable.map((server) => fleet.load(server, figures, nowMs));
  const readMs = readTimeMs(figures, request.promptTokens);
  const isLong = readMs >= LONG_READ_MS;
  const read = toWaitingRead(request, readMs, false);
  const plan = planStream(loads, figures, {
    promptTokens: request.promptTokens,
    answerTokens: request.answerTokens,
    aimMs: request.aimMs,
    waitedMs: nowMs - request.arrivedAtMs,
    mayReadLong: !isLong || isItsTurn(inputs, read, loads, figures),
  });
  if (plan.kind === 'place') return { kind: 'place', stream: toPlannedStream(plan) };
  if (isLong && plan.kind === 'wait') {
    queue.add({ ...read, isYielding: plan.rule !== 'waits_for_turn' });
  }
  return plan;
}
