import { Fleet } from '@poppypond/launch';
import type { Scenario, ScenarioRun } from './scenario.js';
import { ScenarioRandom } from './random.js';

/** Totals of the runs of a scenario. */
export interface ScenarioResult {
  readonly name: string;
  readonly guarantee: string;
  readonly runs: number;
  readonly calls: number;
  /** Number of calls by result code. */
  readonly codes: ReadonlyMap<string, number>;
  /** Number of injections by fault. */
  readonly faults: ReadonlyMap<string, number>;
  readonly violations: readonly string[];
}

/** First seed of a series of runs, and when the series ends. */
export interface RunBounds {
  readonly runs: number;
  readonly seed: number;
  readonly timeLimitMs: number;
}

function countEach(names: readonly string[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const name of names) counts.set(name, (counts.get(name) ?? 0) + 1);
  return counts;
}

/** Runs a scenario on one fleet. Run n with seed s is the same as run 0 with seed s + n. */
export async function runScenario(
  scenario: Scenario,
  bounds: RunBounds,
  onRun: (index: number, run: ScenarioRun) => void = () => undefined,
): Promise<ScenarioResult> {
  const fleet = await Fleet.start(scenario.fleet);
  const startedAt = performance.now();
  const runs: ScenarioRun[] = [];
  try {
    while (runs.length < bounds.runs && performance.now() - startedAt < bounds.timeLimitMs) {
      const seed = bounds.seed + runs.length;
      const run = await scenario.run(fleet, new ScenarioRandom(seed));
      const violations = run.violations.map((violation) => `seed ${String(seed)}: ${violation}`);
      runs.push({ ...run, violations });
      onRun(runs.length, { ...run, violations });
    }
  } finally {
    await fleet.stop();
  }
  return {
    name: scenario.name,
    guarantee: scenario.guarantee,
    runs: runs.length,
    calls: runs.reduce((sum, run) => sum + run.codes.length, 0),
    codes: countEach(runs.flatMap((run) => run.codes)),
    faults: countEach(runs.flatMap((run) => run.faults)),
    violations: runs.flatMap((run) => run.violations),
  };
}
