import type { FleetOptions } from '@poppypond/launch';
import {
  checkMemory,
  checkNotRun,
  checkWholeAnswers,
  checkWithinLimit,
} from '../checkers/checkers.js';
import type { CompletionCall } from '../history.js';
import type { Proof } from '../proof.js';
import { ask, pause, randomQuestion } from './callers.js';
import { allRan, ENGINE_FAULTS, freeze, heal, heldAfter, provokeEngineFault } from './faults.js';

/** Grace for the last bytes to reach a caller on a busy machine. */
const GRACE_MS = 300;
/** Time in which memory is free again after everything has ended: two looks of the sweep. */
const MEMORY_FREE_MS = 12_000;

const FLEET: FleetOptions = {
  gateways: 3,
  engines: 5,
  services: 0,
  controllers: 1,
  engineFlags: { 'step-base-ms': 1, 'prefill-ms': 0.002, 'kv-tokens': 40_000, 'print-runs': true },
  gatewayFlags: { 'prefill-tokens-per-ms': 300, 'decode-step-ms': 2, 'step-ms': 4 },
  controllerFlags: { 'sweep-period-ms': 500, 'lease-ms': 3000 },
};

interface Shape {
  readonly calls: number;
  readonly cancelShare: number;
  /** One question in so many needs a group of engines, which hold memory between calls. */
  readonly groupEvery: number;
  readonly killsGateways: boolean;
  readonly freezesGateways: boolean;
}

interface Played {
  readonly calls: readonly CompletionCall[];
  readonly faults: readonly string[];
  readonly disturbed: ReadonlySet<string>;
}

type Run = Proof['run'];

/** Asks questions at random times while faults are provoked one after another. */
async function play(
  fleet: Parameters<Run>[0],
  random: Parameters<Run>[1],
  shape: Shape,
): Promise<Played> {
  const gateways = fleet.gateways.map((gateway) => gateway.url);
  const disturbed = new Set<string>();
  const asking = Array.from({ length: shape.calls }, async () => {
    const question = randomQuestion(gateways, random, {
      longEvery: 8,
      groupEvery: shape.groupEvery,
    });
    const cancelAfterMs = random.between(1, 400);
    const isCancelled = random.chance(shape.cancelShare);
    await pause(random.between(0, 500));
    return ask(isCancelled ? { ...question, cancelAfterMs } : question, random);
  });
  const faults: string[] = [];
  for (let count = random.between(1, 3); count > 0; count -= 1) {
    await pause(random.between(0, 150));
    const engine = random.pick(fleet.engines);
    const fault = random.pick(ENGINE_FAULTS);
    faults.push(fault);
    await provokeEngineFault(fleet, engine, fault, random);
  }
  const gateway = random.pick(fleet.gateways);
  if (shape.freezesGateways && random.chance(0.5)) {
    faults.push('gateway-freeze');
    disturbed.add(gateway.url);
    await freeze(gateway, random.between(100, 800));
  }
  if (shape.killsGateways && random.chance(0.5)) {
    faults.push('gateway-kill');
    disturbed.add(gateway.url);
    await gateway.kill();
    await fleet.replaceGateway(gateway);
  }
  const calls = await Promise.all(asking);
  await heal(fleet);
  await fleet.waitReady();
  return { calls, faults, disturbed };
}

/** Every admitted request finishes or fails within its time limit. */
export const withinLimit: Proof = {
  name: 'within-limit',
  promise: 'finishes or fails within its time limit',
  fleet: FLEET,
  run: async (fleet, random) => {
    const shape = {
      calls: 24,
      cancelShare: 0,
      groupEvery: 20,
      killsGateways: false,
      freezesGateways: false,
    };
    const { calls, faults, disturbed } = await play(fleet, random, shape);
    return {
      faults,
      codes: calls.map(({ code }) => code),
      violations: checkWithinLimit(calls, disturbed, GRACE_MS),
    };
  },
};

/** No engine loses memory for good, and nobody is robbed of it. */
export const engineMemory: Proof = {
  name: 'engine-memory',
  promise: 'no engine loses memory for good',
  fleet: FLEET,
  run: async (fleet, random) => {
    const shape = {
      calls: 30,
      cancelShare: 0.3,
      groupEvery: 3,
      killsGateways: true,
      freezesGateways: true,
    };
    const { calls, faults } = await play(fleet, random, shape);
    const held = await heldAfter(fleet, MEMORY_FREE_MS);
    const violations = [...checkMemory(held), ...checkWholeAnswers(calls)];
    return { faults, codes: calls.map(({ code }) => code), violations };
  },
};

/** A caller receives the whole answer to its own request and no other. */
export const wholeAnswer: Proof = {
  name: 'whole-answer',
  promise: 'the whole answer to its own request, and no other',
  fleet: FLEET,
  run: async (fleet, random) => {
    const shape = {
      calls: 24,
      cancelShare: 0.1,
      groupEvery: 20,
      killsGateways: true,
      freezesGateways: true,
    };
    const { calls, faults } = await play(fleet, random, shape);
    return { faults, codes: calls.map(({ code }) => code), violations: checkWholeAnswers(calls) };
  },
};

/** Told not run means not run. */
export const toldNotRun: Proof = {
  name: 'told-not-run',
  promise: 'told not run means not run',
  fleet: FLEET,
  run: async (fleet, random) => {
    const shape = {
      calls: 40,
      cancelShare: 0.1,
      groupEvery: 20,
      killsGateways: false,
      freezesGateways: true,
    };
    const { calls, faults } = await play(fleet, random, shape);
    return {
      faults,
      codes: calls.map(({ code }) => code),
      violations: checkNotRun(calls, allRan(fleet)),
    };
  },
};
