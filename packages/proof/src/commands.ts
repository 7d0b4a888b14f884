import {
  countSetting,
  defineCommand,
  millisecondsSetting,
  booleanSetting,
} from '@poppypond/settings';
import type { ProgramCommand } from '@poppypond/settings';
import type { Scenario } from './scenario.js';
import { SCENARIOS } from './scenarios.js';
import { runScenario } from './run-scenario.js';
import type { ScenarioResult } from './run-scenario.js';

const DEFAULT_RUNS = 100;
const DEFAULT_SEED = 1;
const FREE_SEED_RANGE = 1_000_000;

const shape = {
  runs: countSetting.default(DEFAULT_RUNS).describe('runs of each scenario'),
  seed: countSetting.default(DEFAULT_SEED).describe('seed of the first run'),
  freeSeed: booleanSetting.default(false).describe('use a random seed and print it'),
  timeLimitMs: millisecondsSetting.default(900_000).describe('time limit of each scenario'),
};

function formatCounts(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${String(count)}`).join(', ');
}

function printResult(result: ScenarioResult): void {
  const faults = formatCounts(result.faults);
  process.stdout.write(
    `| ${result.guarantee} | ${String(result.runs)} | ${formatCounts(result.codes)} | ${faults} | ` +
      `${String(result.violations.length)} |\n`,
  );
}

async function runScenarios(
  scenarios: readonly Scenario[],
  settings: { runs: number; seed: number; freeSeed: boolean; timeLimitMs: number },
): Promise<number> {
  const seed = settings.freeSeed ? Math.floor(Math.random() * FREE_SEED_RANGE) : settings.seed;
  process.stdout.write(`seed ${String(seed)}\n`);
  const results: ScenarioResult[] = [];
  for (const scenario of scenarios) {
    const bounds = { ...settings, seed };
    const result = await runScenario(scenario, bounds, (_index, { violations }) => {
      for (const violation of violations) process.stdout.write(`${scenario.name}: ${violation}\n`);
    });
    process.stdout.write(
      `${scenario.name}: ${String(result.runs)} runs, ${String(result.violations.length)} violations\n`,
    );
    results.push(result);
  }
  process.stdout.write(
    '\n| guarantee | runs | calls by result code | injected faults | violations |\n',
  );
  process.stdout.write('| --- | --- | --- | --- | --- |\n');
  for (const result of results) printResult(result);
  const hasNoViolations = results.every((result) => result.violations.length === 0);
  setImmediate(() => process.exit(hasNoViolations ? 0 : 1));
  return hasNoViolations ? 0 : 1;
}

function makeCommand(path: readonly string[], description: string, scenarios: readonly Scenario[]) {
  return defineCommand({
    path,
    description,
    shape,
    main: (settings) => runScenarios(scenarios, settings),
  });
}

/** A command that runs all scenarios, and one for each scenario. */
export const proofCommands: readonly ProgramCommand[] = [
  makeCommand(
    [],
    'Check every guarantee under injected faults, on fleets of processes.',
    SCENARIOS,
  ),
  ...SCENARIOS.map((scenario) =>
    makeCommand([scenario.name], `Check under injected faults: ${scenario.guarantee}.`, [scenario]),
  ),
];
