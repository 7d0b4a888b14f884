import type { Milliseconds } from '@poppypond/core';
import {
  LATE_PATIENCE_AIMS,
  LONG_READ_MS,
  placeCall,
  planStream,
  readTimeMs,
} from '@poppypond/fleet';
import type { BackendServer, StreamPlan, WaitingRead } from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';
import type { RelayParts } from './relay-parts.js';

/** What a stream asks of an engine. */
export interface StreamNeeds {
  readonly requestId: string;
  readonly arrivedAtMs: Milliseconds;
  readonly promptTokens: number;
  readonly answerTokens: number;
  readonly aimMs: Milliseconds;
  readonly timeLeftMs: Milliseconds;
}

function without(
  servers: readonly BackendServer[],
  failedIds: ReadonlySet<string>,
): readonly BackendServer[] {
  const left = servers.filter((server) => !failedIds.has(server.id));
  return left.length > 0 ? left : servers;
}

function toWaitingRead(
  parts: RelayParts,
  needs: StreamNeeds,
  readMs: Milliseconds,
  isYielding: boolean,
): WaitingRead {
  return {
    requestId: needs.requestId,
    host: parts.host,
    readMs,
    aimAtMs: needs.arrivedAtMs + needs.aimMs,
    overdueAtMs: needs.arrivedAtMs + needs.aimMs * LATE_PATIENCE_AIMS,
    isYielding,
    expiresAtMs: parts.clock.monotonicMs() + needs.timeLeftMs,
  };
}

/** Tells peers how a long prompt waits, where they don't know it yet. */
function tellWaiting(parts: RelayParts, read: WaitingRead): void {
  const known = parts.queue.find(read.requestId);
  if (known?.isYielding !== read.isYielding) parts.peers.wait(read);
}

/** Whether a long prompt's turn has come. */
function isItsTurn(parts: RelayParts, read: WaitingRead): boolean {
  const nowMs = parts.clock.monotonicMs();
  return !parts.fleet.isLongReadRunning(nowMs) && parts.queue.isFirst(read, nowMs);
}

/** Plans a stream over the engines that may take work now; those that failed it come last. */
export function chooseEngine(
  parts: RelayParts,
  service: string,
  figures: EngineFigures,
  needs: StreamNeeds,
  failedIds: ReadonlySet<string>,
): StreamPlan {
  const nowMs = parts.clock.monotonicMs();
  const servers = without(parts.servers.available(service), failedIds);
  const loads = servers.map((server) => parts.fleet.load(server, figures, nowMs));
  const readMs = readTimeMs(figures, needs.promptTokens);
  const isLong = readMs >= LONG_READ_MS;
  const read = toWaitingRead(parts, needs, readMs, false);
  const demand = {
    promptTokens: needs.promptTokens,
    answerTokens: needs.answerTokens,
    aimMs: needs.aimMs,
    waitedMs: nowMs - needs.arrivedAtMs,
    mayReadLong: !isLong || isItsTurn(parts, read),
  };
  const plan = planStream(loads, figures, demand);
  if (isLong && plan.kind === 'wait') {
    tellWaiting(parts, { ...read, isYielding: plan.rule !== 'waits_for_turn' });
  }
  return plan;
}

/** Picks a server of a plain service; those that failed this request come last. */
export function choosePlainServer(
  parts: RelayParts,
  service: string,
  failedIds: ReadonlySet<string>,
): BackendServer | undefined {
  const nowMs = parts.clock.monotonicMs();
  const candidates = without(parts.servers.available(service), failedIds).map((server) => ({
    server,
    outstanding: parts.fleet.writersOn(server.id),
    isSuspect: parts.fleet.isSuspect(server.id, nowMs),
  }));
  return placeCall(candidates, parts.draw())?.server;
}
