import type { Milliseconds } from '@poppypond/core';
import { prefillTokensAtOrAbove } from '../engine-load.js';
import type { EngineState } from '../engine-load.js';
import { shortEngineCount } from '../lanes/lanes.js';
import type { LaneSplit } from '../lanes/lanes.js';
import { pickSome } from '../random-source.js';
import type { RandomSource } from '../random-source.js';
import { neededKvTokens, NO_ENGINE } from './placement.js';
import type { RejectedEngine, Placement, PlacementChoice, PlacementJob } from './placement.js';

/** What each mechanism of the placement is set to; each can be switched off. */
export interface PredictedStartSettings {
  /** Keeps some engines free of long work. */
  readonly useLanes: boolean;
  /** Waits at this host while every engine has more than `bindWithinMs` of work ahead. */
  readonly useLateBinding: boolean;
  /** Counts prefix cache hints. */
  readonly useAffinity: boolean;
  readonly bindWithinMs: Milliseconds;
  /** How many engines at random are compared, so that hosts don't all pick the same one. */
  readonly randomChoices: number;
  /** Cost of leaving this host's availability zone. */
  readonly otherZoneMs: Milliseconds;
  /** Time that one step with a full chunk takes; new work waits for the step that runs. */
  readonly stepMs: Milliseconds;
  /** Share of an engine's memory that is kept for sequences as they are. */
  readonly memoryMargin: number;
}

/** Reasonable values; docs/TUNING.md says how to choose them. */
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

/** What each running sequence adds to a step; spreads short work over engines that are alike. */
const RUNNING_SEQUENCE_STEP_MS = 0.05;

interface ScoredEngine {
  readonly engine: EngineState;
  readonly startMs: Milliseconds;
  readonly aheadMs: Milliseconds;
  readonly cachedTokens: number;
}

/** Places by the predicted time to the first token. */
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

  /** Groups of engines in order of preference. Long work never enters the short lane. */
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

  /** The best of a few at random, and of those that the cache favours. */
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
      return { kind: 'wait', why: first ? `${first.candidate} ${first.why}` : 'no engine' };
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
