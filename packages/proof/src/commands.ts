import {
  countSetting,
  defineCommand,
  millisecondsSetting,
  booleanSetting,
} from '@poppypond/settings';
import type { ProgramCommand } from '@poppypond/settings';
import type { Proof } from './proof.js';
import { PROOFS } from './proofs.js';
import { runProof } from './run-proof.js';
import type { ProofResult } from './run-proof.js';

const DEFAULT_RUNS = 100;
const DEFAULT_SEED = 1;
const FREE_SEEDS = 1_000_000;

const shape = {
  runs: countSetting.default(DEFAULT_RUNS).describe('fault runs of each promise'),
  seed: countSetting.default(DEFAULT_SEED).describe('seed of the first run'),
  freeSeed: booleanSetting.default(false).describe('take a seed at random and print it'),
  timeLimitMs: millisecondsSetting.default(900_000).describe('time limit of each promise'),
};

function countsText(counts: ReadonlyMap<string, number>): string {
  return [...counts].map(([name, count]) => `${name} ${String(count)}`).join(', ');
}

function printResult(result: ProofResult): void {
  const faults = countsText(result.faults);
  process.stdout.write(
    `| ${result.promise} | ${String(result.runs)} | ${countsText(result.codes)} | ${faults} | ` +
      `${String(result.violations.length)} |\n`,
  );
}

async function prove(
  proofs: readonly Proof[],
  settings: { runs: number; seed: number; freeSeed: boolean; timeLimitMs: number },
): Promise<number> {
  const seed = settings.freeSeed ? Math.floor(Math.random() * FREE_SEEDS) : settings.seed;
  process.stdout.write(`seed ${String(seed)}\n`);
  const results: ProofResult[] = [];
  for (const proof of proofs) {
    const bounds = { ...settings, seed };
    const result = await runProof(proof, bounds, (_index, { violations }) => {
      for (const violation of violations) process.stdout.write(`${proof.name}: ${violation}\n`);
    });
    process.stdout.write(
      `${proof.name}: ${String(result.runs)} runs, ${String(result.violations.length)} violations\n`,
    );
    results.push(result);
  }
  process.stdout.write(
    '\n| promise | runs | calls and what their callers were told | faults provoked | violations |\n',
  );
  process.stdout.write('| --- | --- | --- | --- | --- |\n');
  for (const result of results) printResult(result);
  const isHeld = results.every((result) => result.violations.length === 0);
  setImmediate(() => process.exit(isHeld ? 0 : 1));
  return isHeld ? 0 : 1;
}

function commandFor(path: readonly string[], description: string, proofs: readonly Proof[]) {
  return defineCommand({ path, description, shape, main: (settings) => prove(proofs, settings) });
}

/** One command for each promise, and one for all. */
export const proofCommands: readonly ProgramCommand[] = [
  commandFor([], 'Prove every promise under faults, on fleets of processes.', PROOFS),
  ...PROOFS.map((proof) => commandFor([proof.name], `Prove: ${proof.promise}.`, [proof])),
];
