import type { EngineState } from '../engine-load.js';
import type { Lane } from '../lanes/lanes.js';
import type { RandomSource } from '../random-source.js';

/** A request that is to be placed. */
export interface PlacementJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly lane: Lane;
  /** The availability zone of this host. */
  readonly zone: string;
  /** Prompt tokens that an engine probably has in its prefix cache; a hint only. */
  cachedTokens(engineId: string): number;
}

/** An engine that was not chosen, and why. */
export interface RejectedEngine {
  readonly candidate: string;
  readonly why: string;
}

/** Where a request goes, or that it waits at this host. */
export type PlacementChoice =
  | {
      readonly kind: 'dispatch';
      readonly engine: EngineState;
      readonly predictedStartMs: number;
      readonly cachedTokens: number;
      readonly passedOver: readonly RejectedEngine[];
    }
  | { readonly kind: 'wait'; readonly why: string };

/**
 * Chooses an engine. `engines` are those that the rule allows, that hold the model and that
 * take work, in the pool's rendezvous order: the first take no long work.
 */
export interface Placement {
  readonly name: string;
  choose(job: PlacementJob, engines: readonly EngineState[], random: RandomSource): PlacementChoice;
}

/** The tokens of KV memory that a request needs. */
export function neededKvTokens(job: Pick<PlacementJob, 'promptTokens' | 'outputTokens'>): number {
  return job.promptTokens + job.outputTokens;
}

/** Waits because there is no engine at all. */
export const NO_ENGINE: PlacementChoice = { kind: 'wait', why: 'no engine takes work' };

/** A choice of a placement that doesn't predict. */
export function dispatchTo(engine: EngineState): PlacementChoice {
  return { kind: 'dispatch', engine, predictedStartMs: 0, cachedTokens: 0, passedOver: [] };
}
