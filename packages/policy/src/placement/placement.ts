import type { EngineState } from '../engine-load.js';
import type { Lane } from '../lanes/lanes.js';
import type { RandomSource } from '../random-source.js';

/** A request to be placed on an engine. */
export interface PlacementJob {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly lane: Lane;
  /** Availability zone of this host. */
  readonly zone: string;
  /** Number of prompt tokens that the engine probably has in its prefix cache; only a hint. */
  cachedTokens(engineId: string): number;
}

/** An engine that was not chosen, and the reason. */
export interface RejectedEngine {
  readonly candidate: string;
  readonly why: string;
}

/** The engine that a request is dispatched to, or the reason why it waits at this host. */
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
 * Algorithm that chooses an engine. `engines` are those that the rule allows, that hold the model
 * and that accept work, in the pool's rendezvous order; the first ones accept no long requests.
 */
export interface Placement {
  readonly name: string;
  choose(job: PlacementJob, engines: readonly EngineState[], random: RandomSource): PlacementChoice;
}

/** KV memory that a request needs, in tokens. */
export function neededKvTokens(job: Pick<PlacementJob, 'promptTokens' | 'outputTokens'>): number {
  return job.promptTokens + job.outputTokens;
}

/** The request waits because no engine accepts work. */
export const NO_ENGINE: PlacementChoice = { kind: 'wait', why: 'no engine takes work' };

/** Dispatch by a placement that predicts no start time. */
export function dispatchTo(engine: EngineState): PlacementChoice {
  return { kind: 'dispatch', engine, predictedStartMs: 0, cachedTokens: 0, passedOver: [] };
}
