import type { Fleet, FleetOptions } from '@poppypond/launch';
import type { Violations } from './checkers/checkers.js';
import type { ScenarioRandom } from './random.js';

/** Injected faults and results of one run of a scenario. */
export interface ScenarioRun {
  readonly faults: readonly string[];
  /** Result code of each call, as its caller received it. */
  readonly codes: readonly string[];
  readonly violations: Violations;
}

/**
 * A fault-injection test of one guarantee. Each run sends calls to a fleet of processes, injects
 * faults, and checks the results afterwards.
 */
export interface Scenario {
  readonly name: string;
  readonly guarantee: string;
  readonly fleet: FleetOptions;
  run(fleet: Fleet, random: ScenarioRandom): Promise<ScenarioRun>;
}
