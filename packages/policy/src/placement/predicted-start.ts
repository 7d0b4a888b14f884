import type { Milliseconds } from '@poppypond/core';
import { prefillTokensAtOrAbove } from '../engine-load.js';
import type { EngineState } from '../engine-load.js';
import { shortEngineCount } from '../lanes/lanes.js';
import type { LaneSplit } from '../lanes/lanes.js';
import { pickSome } from '../random-source.js';
import type { RandomSource } from '../random-source.js';
import { neededKvTokens, NO_ENGINE } from './placement.js';
import type { RejectedEngine, Placement, PlacementChoice, PlacementJob } from './placement.js';

/** Settings of the placement's mechanisms; each mechanism can be disabled. */
export interface PredictedStartSettings {
  /** Reserves some engines for short requests. */
  readonly useLanes: boolean;
  /**
   * Keeps a request at this host while every engine has more than `bindWithinMs` of work queued
   * ahead of it.
   */
  readonly useLateBinding: boolean;
  /** Takes prefix cache hints into account. */
  readonly useAffinity: boolean;
  readonly bindWithinMs: Milliseconds;
  /**
   * Number of randomly sampled engines that are compared; sampling keeps hosts from all picking the
   * same one.
   */
  readonly randomChoices: number;
  /** Cost of using an engine outside this host's availability zone. */
  readonly otherZoneMs: Milliseconds;
  /** Duration of one engine step with a full chunk; new work waits for the running step to end. */
  readonly stepMs: Milliseconds;
  /**
   * Fraction of an engine's KV memory that placement keeps free for the actual size of sequences.
   */
  readonly memoryMargin: number;
}

/** Default settings; docs/TUNING.md explains how to tune them. */
export const DEFAULT_PREDICTED_START: PredictedStartSettings = {
  useLanes: true,
  useLateBinding: true,
  useAffinity: true,
  bindWithinMs: 150,
  randomChoices: 3,
  otherZoneMs: 2,
  stepMs: 30,
  memoryMargin: 0.02,
};

/**
 * Time that each running sequence adds to a step; spreads short requests over otherwise equal
 * engines.
 */
const RUNNING_SEQUENCE_STEP_MS = 0.05;

interface ScoredEngine {
  readonly engine: EngineState;
  readonly startMs: Milliseconds;
  readonly aheadMs: Milliseconds;
  readonly cachedTokens: number;
}

/** Chooses engines by the predicted time to the first token. */
export class PredictedStartPlacement implements Placement {
  readonly name = 'predicted-start';

  constructor(
    readonly settings: PredictedStartSettings,
    public split: LaneSplit,
  ) {}

  choose(
    job: PlacementJob,
    engines: readonly EngineState[],
    random: RandomSource,
  ): PlacementChoice {
    if (engines.length === 0) return NO_ENGINE;
    const lanes = this.#lanesInOrder(job, engines);
    let why = 'no engine in the lane';
    for (const lane of lanes) {
      const choice = this.#chooseAmong(job, lane, random);
      if (choice.kind === 'dispatch') return choice;
      why = choice.why;
    }
    return { kind: 'wait', why };
  }

  /**
   * Engines of each lane, in order of preference. Long requests are never placed in the short lane.
   */
  #lanesInOrder(
    job: PlacementJob,
    engines: readonly EngineState[],
  ): readonly (readonly EngineState[])[] {
    const inRole = engines.filter((engine) => engine.role === 'any' || engine.role === job.lane);
    if (!this.settings.useLanes) return [inRole];
    const shortCount = shortEngineCount(inRole.length, this.split);
    const shortLane = inRole.slice(0, shortCount);
    const longLane = inRole.slice(shortCount);
    return job.lane === 'long' ? [longLane] : [shortLane, longLane];
  }

  #chooseAmong(
    job: PlacementJob,
    engines: readonly EngineState[],
    random: RandomSource,
  ): PlacementChoice {
    const neededTokens = neededKvTokens(job);
    const passedOver: RejectedEngine[] = [];
    const eligible: ScoredEngine[] = [];
    for (const engine of engines) {
      const freeTokens = engine.kvTokens * (1 - this.settings.memoryMargin) - engine.heldTokens;
      if (freeTokens < neededTokens) {
        passedOver.push({
          candidate: engine.id,
          why: `memory: ${String(Math.floor(freeTokens))} free`,
        });
        continue;
      }
      const scored = this.#score(job, engine);
      if (this.settings.useLateBinding && scored.aheadMs > this.settings.bindWithinMs) {
        passedOver.push({ candidate: engine.id, why: `busy ${scored.aheadMs.toFixed(0)} ms` });
        continue;
      }
      eligible.push(scored);
    }
    return this.#chooseBest(eligible, passedOver, random);
  }

  #score(job: PlacementJob, engine: EngineState): ScoredEngine {
    const cachedTokens = this.settings.useAffinity
      ? Math.min(job.promptTokens, job.cachedTokens(engine.id))
      : 0;
    const aheadTokens = prefillTokensAtOrAbove(engine, job.priority);
    const aheadMs = aheadTokens / engine.prefillTokensPerMs;
    const ownPrefillMs = (job.promptTokens - cachedTokens) / engine.prefillTokensPerMs;
    const zoneMs = engine.zone === job.zone ? 0 : this.settings.otherZoneMs;
    const hasLowerPriorityWork = engine.prefillTokens > aheadTokens;
    const stepMs = hasLowerPriorityWork ? this.settings.stepMs : 0;
    const runningMs = engine.running * RUNNING_SEQUENCE_STEP_MS;
    const startMs = aheadMs + ownPrefillMs + zoneMs + stepMs + runningMs;
    return { engine, startMs, aheadMs, cachedTokens };
  }

  /** Earliest predicted start among a random sample and all engines with cached prompt tokens. */
  #chooseBest(
    eligible: readonly ScoredEngine[],
    passedOver: readonly RejectedEngine[],
    random: RandomSource,
  ): PlacementChoice {
    const cached = eligible.filter((scored) => scored.cachedTokens > 0);
    const sampled = pickSome(eligible, this.settings.randomChoices, random);
    let best: ScoredEngine | undefined;
    for (const scored of [...sampled, ...cached]) {
      if (!best || scored.startMs < best.startMs) best = scored;
    }
    if (!best) {
      const first = passedOver[0];
      return {
        kind: 'wait',
        why: first ? `${first.candidate} ${first.why}` : 'no engine',
      };
    }
    const others = sampled
      .filter((scored) => scored !== best)
      .map(({ engine, startMs }) => ({
        candidate: engine.id,
        why: `start ${startMs.toFixed(0)} ms`,
      }));
    return {
      kind: 'dispatch',
      engine: best.engine,
      predictedStartMs: best.startMs,
      cachedTokens: best.cachedTokens,
      passedOver: [...others, ...passedOver],
    };
  }
}
