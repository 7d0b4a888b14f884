import type { Milliseconds } from '@poppypond/core';
import { passTimeMs, placement } from '@poppypond/fleet';
import type { BackendServer, StreamDemand, StreamPlacement, UsualTimes } from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';
import type { PlanInputs } from './plan-engines.js';

/** Longest prefill of a request that probes a slow engine; a longer one would delay its caller more. */
const MAX_PROBE_PREFILL_MS: Milliseconds = 60;

/**
 * Returns what to expect of a placement on engines of the usual speed. The first event is only
 * predictable if no engine has other prefills or queued requests. A running pass ends before the
 * prefill starts, and the prefill is part of the next one.
 */
export function usualTimes(
  { writer, readers, partMs }: StreamPlacement,
  figures: EngineFigures,
  { promptTokens, answerTokens }: StreamDemand,
): UsualTimes {
  const engines = [writer, ...readers];
  const contextTokens = writer.contextTokens + promptTokens + answerTokens;
  const passMs = passTimeMs(figures, writer.writers + 1, contextTokens);
  const isQueued =
    writer.writers >= figures.slots || engines.some((load) => load.pendingPrefillMs > 0);
  if (isQueued) return { passMs };
  const beforeMs = Math.max(...engines.map((load) => load.passMs / load.slowdown));
  return { firstEventMs: 2 * beforeMs + partMs + passMs, passMs };
}

/**
 * Returns a placement on a slow engine in place of `plan` if one has to be probed and the prompt is
 * short, and `plan` otherwise. The engine has no other request, so at most one caller is late.
 */
export function withProbe(
  plan: StreamPlacement,
  { fleet, limited, nowMs }: PlanInputs,
  figures: EngineFigures,
  servers: readonly BackendServer[],
): StreamPlacement {
  const { speeds } = fleet;
  if (speeds.size === 0 || plan.readers.length > 0 || plan.partMs > MAX_PROBE_PREFILL_MS)
    return plan;
  const probed = servers.find((server) => {
    if (!speeds.isProbeDue(server, nowMs) || fleet.usesOn(server.id) > 0) return false;
    const isAvoided = fleet.suspicions.leftMs(server.id, nowMs) > 0;
    return !isAvoided && !limited.isCold(server) && !limited.isLimited(server);
  });
  if (!probed) return plan;
  return placement('packed', fleet.load(probed, figures, nowMs), [], plan.partMs);
}
