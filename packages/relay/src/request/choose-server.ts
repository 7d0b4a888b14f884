import type { Milliseconds } from '@poppypond/core';
import { LONG_READ_MS, placeCall, planStream, readTimeMs } from '@poppypond/fleet';
import type { BackendServer, StreamPlan } from '@poppypond/fleet';
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

/** Whether a long prompt's turn has come; it is told to peers while it waits. */
function mayReadLong(
  parts: RelayParts,
  needs: StreamNeeds,
  readMs: Milliseconds,
  nowMs: Milliseconds,
): boolean {
  const read = {
    requestId: needs.requestId,
    host: parts.host,
    readMs,
    aimAtMs: needs.arrivedAtMs + needs.aimMs,
    expiresAtMs: nowMs + needs.timeLeftMs,
  };
  if (!parts.fleet.isLongReadRunning(nowMs) && parts.queue.isFirst(read, nowMs)) return true;
  if (!parts.queue.has(needs.requestId)) parts.peers.wait(read);
  return false;
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
  const demand = {
    promptTokens: needs.promptTokens,
    answerTokens: needs.answerTokens,
    aimMs: needs.aimMs,
    waitedMs: nowMs - needs.arrivedAtMs,
    mayReadLong: readMs < LONG_READ_MS || mayReadLong(parts, needs, readMs, nowMs),
  };
  return planStream(loads, figures, demand);
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
