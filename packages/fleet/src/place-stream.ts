import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { prefillTimeMs } from './engine-times.js';
import type { EngineLoad } from './engine-load.js';
import { LatePromptsWhenIdle } from './late-prompts.js';
import type { LatePromptPolicy } from './late-prompts.js';
import { packShortPrompt, packUnsplit } from './pack-prompts.js';
import { planSplitPrefill } from './split-prefill.js';
import { freeMemoryTokens } from './share-memory.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';
import { withoutAvoided } from './suspicions.js';

/**
 * Prompts with at most this prefill time are never split; if necessary they go to the least busy
 * engine.
 */
const MAX_UNSPLIT_PREFILL_MS: Milliseconds = 60;

/**
 * A prompt for which no engine has free memory waits for up to this multiple of its latency target.
 */
const MEMORY_WAIT_TARGETS = 1;
/** Prompts above this share of an engine's memory may be stored on several engines. */
const LARGE_SHARE = 0.75;

const DEFAULT_LATE_POLICY = new LatePromptsWhenIdle();

function waitForMemory(demand: StreamDemand): StreamPlan {
  const canWait = demand.waitedMs < demand.aimMs * MEMORY_WAIT_TARGETS;
  return canWait
    ? { kind: 'wait', rule: 'waits_for_memory' }
    : { kind: 'refuse', rule: 'no_engine' };
}

/**
 * Chooses the engine that decodes an answer and those that help to prefill its prompt, to maximize
 * the answers in time of all callers. Short prompts are packed onto the first engines. Long ones
 * are split over engines whose writers tolerate the delay, after a short wait if there are none.
 * `latePolicy` decides about prompts that would be late.
 *
 * `loads` contains all engines that accept work, in an order that is the same on every host.
 */
export function planStream(
  loads: readonly EngineLoad[],
  figures: EngineFigures,
  demand: StreamDemand,
  latePolicy: LatePromptPolicy = DEFAULT_LATE_POLICY,
): StreamPlan {
  if (loads.length === 0) return { kind: 'refuse', rule: 'no_engine' };
  const prefillMs = prefillTimeMs(figures, demand.promptTokens);
  const usable = withoutAvoided(loads);
  const wanted = demand.promptTokens + demand.answerTokens;
  const withMemory = usable.filter((load) => freeMemoryTokens(load, figures) >= wanted);
  const isLarge = wanted > figures.memoryTokens * LARGE_SHARE;
  if (withMemory.length === 0 && !isLarge) return waitForMemory(demand);
  const unsplit = packUnsplit(withMemory, figures, prefillMs, demand);
  if (unsplit) return unsplit;
  if (prefillMs <= MAX_UNSPLIT_PREFILL_MS) return packShortPrompt(withMemory, figures, prefillMs);
  const writers = withMemory.length > 0 ? withMemory : usable;
  return planSplitPrefill({ engines: usable, writers, figures, demand, prefillMs }, latePolicy);
}
