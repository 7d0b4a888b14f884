import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { prefillTimeMs } from './engine-times.js';
import type { EngineLoad } from './engine-load.js';
import { LatePromptsWhenIdle } from './late-prompts.js';
import type { LatePromptPolicy } from './late-prompts.js';
import { packShortPrompt, packUnsplit } from './pack-short.js';
import { planSplitPrefill } from './read-in-parts.js';
import { freeMemoryTokens } from './share-memory.js';
import type { StreamDemand, StreamPlan } from './stream-plan.js';
import { withoutAvoided } from './suspicions.js';

/** Prompts that take no longer to read than this go whole to the least busy engine if need be. */
const MAX_UNSPLIT_PREFILL_MS: Milliseconds = 60;

/** A prompt for which no engine has memory waits for up to this many aims. */
const MEMORY_WAIT_TARGETS = 1;
/** Prompts above this share of an engine's memory may be held on several. */
const LARGE_SHARE = 0.75;

const DEFAULT_LATE_POLICY = new LatePromptsWhenIdle();

function waitForMemory(demand: StreamDemand): StreamPlan {
  const isPatient = demand.waitedMs < demand.aimMs * MEMORY_WAIT_TARGETS;
  return isPatient
    ? { kind: 'wait', rule: 'waits_for_memory' }
    : { kind: 'refuse', rule: 'no_engine' };
}

/**
 * Chooses the engine that writes an answer and those that help to read its prompt, for the most
 * in-time answers over all callers. Short prompts are packed on the first engines; long ones are
 * read in parts on engines whose writers allow the pause, after a short wait if there are none;
 * `lateRule` decides about those that would be late.
 * `loads` are all engines that may take work, in an order that every host agrees on.
 */
export function planStream(
  loads: readonly EngineLoad[],
  figures: EngineFigures,
  demand: StreamDemand,
  latePolicy: LatePromptPolicy = DEFAULT_LATE_POLICY,
): StreamPlan {
  if (loads.length === 0) return { kind: 'refuse', rule: 'no_engine' };
  const readMs = prefillTimeMs(figures, demand.promptTokens);
  const usable = withoutAvoided(loads);
  const wanted = demand.promptTokens + demand.answerTokens;
  const withMemory = usable.filter((load) => freeMemoryTokens(load, figures) >= wanted);
  const isLarge = wanted > figures.memoryTokens * LARGE_SHARE;
  if (withMemory.length === 0 && !isLarge) return waitForMemory(demand);
  const whole = packUnsplit(withMemory, figures, readMs, demand);
  if (whole) return whole;
  if (readMs <= MAX_UNSPLIT_PREFILL_MS) return packShortPrompt(withMemory, figures, readMs);
  const writers = withMemory.length > 0 ? withMemory : usable;
  return planSplitPrefill({ engines: usable, writers, figures, demand, readMs }, latePolicy);
}
