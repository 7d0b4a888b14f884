import type { Fleet, FleetOptions } from '@poppypond/launch';
import type { Violations } from './checkers/checkers.js';
import type { ScenarioRandom } from './random.js';

/** What one run of a proof provoked and found. */
export interface ScenarioRun {
  readonly faults: readonly string[];
  /** How each call ended, as its caller was told. */
  readonly codes: readonly string[];
  readonly violations: Violations;
}

/** A proof of one promise: runs of a scenario on a fleet of processes, each checked afterwards. */
export interface Scenario {
  readonly name: string;
  readonly guarantee: string;
  readonly fleet: FleetOptions;
  run(fleet: Fleet, random: ScenarioRandom): Promise<ScenarioRun>;
}
