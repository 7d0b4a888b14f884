import type { EngineState } from '../engine-load.js';
import { dispatchTo, NO_ENGINE } from './placement.js';
import type { Placement, PlacementChoice, PlacementJob } from './placement.js';

function chooseLowestCost(
  engines: readonly EngineState[],
  cost: (engine: EngineState) => number,
): PlacementChoice {
  let best: EngineState | undefined;
  for (const engine of engines) {
    if (!best || cost(engine) < cost(best)) best = engine;
  }
  return best ? dispatchTo(best) : NO_ENGINE;
}

/** Baseline placement: the engines in rotation. */
export class RoundRobinPlacement implements Placement {
  readonly name = 'round-robin';
  #next = 0;

  choose(_job: PlacementJob, engines: readonly EngineState[]): PlacementChoice {
    this.#next += 1;
    const engine = engines[this.#next % engines.length];
    return engine ? dispatchTo(engine) : NO_ENGINE;
  }
}

/** Baseline placement: the engine with the fewest requests. */
export class LeastRequestsPlacement implements Placement {
  readonly name = 'least-requests';

  choose(_job: PlacementJob, engines: readonly EngineState[]): PlacementChoice {
    return chooseLowestCost(engines, (engine) => engine.running);
  }
}

/** Baseline placement: the engine with the fewest tokens in KV memory and queued for prefill. */
export class LeastTokensPlacement implements Placement {
  readonly name = 'least-tokens';

  choose(_job: PlacementJob, engines: readonly EngineState[]): PlacementChoice {
    return chooseLowestCost(engines, (engine) => engine.heldTokens + engine.prefillTokens);
  }
}
