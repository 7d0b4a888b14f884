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
 * Orders engines so that slow ones are filled last, the slowest at the very end; the same array if
 * there are none.
 */
function slowLast(loads: readonly EngineLoad[]): readonly EngineLoad[] {
  if (loads.every(({ slowdown }) => slowdown === 1)) return loads;
  return [...loads].sort((one, two) => one.slowdown - two.slowdown);
}

/** The engines of the usual speed; all if there are none. */
function withoutSlow(loads: readonly EngineLoad[]): readonly EngineLoad[] {
  const even = loads.filter(({ slowdown }) => slowdown === 1);
  return even.length > 0 ? even : loads;
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
  const usable = slowLast(withoutAvoided(loads));
  const wanted = demand.promptTokens + demand.answerTokens;
  const withMemory = usable.filter((load) => freeMemoryTokens(load, figures) >= wanted);
  const isLarge = wanted > figures.memoryTokens * LARGE_SHARE;
  if (withMemory.length === 0 && !isLarge) return waitForMemory(demand);
  const unsplit = packUnsplit(withMemory, figures, prefillMs, demand);
  if (unsplit) return unsplit;
  if (prefillMs <= MAX_UNSPLIT_PREFILL_MS) return packShortPrompt(withMemory, figures, prefillMs);
  const writers = withMemory.length > 0 ? withMemory : usable;
  const inputs = { figures, demand, prefillMs };
  // The prompt is prefilled when its slowest part is, and each engine gets an equal part.
  const engines = withoutSlow(usable);
  const split = { ...inputs, engines, writers: withoutSlow(writers) };
  const plan = planSplitPrefill(split, latePolicy);
  const lacksMemory = plan.kind === 'wait' && plan.rule === 'waits_for_memory';
  if (!lacksMemory || engines.length === usable.length) return plan;
  return planSplitPrefill({ ...inputs, engines: usable, writers }, latePolicy);
}
