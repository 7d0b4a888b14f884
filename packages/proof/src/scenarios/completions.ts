import type { FleetOptions } from '@poppypond/launch';
import {
  checkMemory,
  checkNotRun,
  checkCompleteAnswers,
  checkWithinLimit,
} from '../checkers/checkers.js';
import type { CompletionCall } from '../history.js';
import type { Scenario } from '../scenario.js';
import { ask, sleep, makeRandomCall } from './callers.js';
import {
  allRunRequests,
  ENGINE_FAULTS,
  freeze,
  clearEngineFaults,
  waitForFreeMemory,
  injectEngineFault,
} from './faults.js';

/** Extra time for the last bytes to reach a caller on a busy host. */
const RESPONSE_GRACE_MS = 300;
/**
 * Time in which all memory is free after all requests have ended: two passes of the memory sweep.
 */
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

interface LoadOptions {
  readonly calls: number;
  readonly cancelShare: number;
  /** On average one call in this many needs a group of engines, which hold memory between calls. */
  readonly groupEvery: number;
  readonly killsGateways: boolean;
  readonly freezesGateways: boolean;
}

interface LoadResult {
  readonly calls: readonly CompletionCall[];
  readonly faults: readonly string[];
  readonly faultedGateways: ReadonlySet<string>;
}

type Run = Scenario['run'];

/** Makes calls at random times while faults are injected one after another. */
async function runLoadWithFaults(
  fleet: Parameters<Run>[0],
  random: Parameters<Run>[1],
  options: LoadOptions,
): Promise<LoadResult> {
  const gateways = fleet.gateways.map((gateway) => gateway.url);
  const faultedGateways = new Set<string>();
  const pendingCalls = Array.from({ length: options.calls }, async () => {
    const call = makeRandomCall(gateways, random, {
      longEvery: 8,
      groupEvery: options.groupEvery,
    });
    const cancelAfterMs = random.between(1, 400);
    const isCancelled = random.chance(options.cancelShare);
    await sleep(random.between(0, 500));
    return ask(isCancelled ? { ...call, cancelAfterMs } : call, random);
  });
  const faults: string[] = [];
  for (let count = random.between(1, 3); count > 0; count -= 1) {
    await sleep(random.between(0, 150));
    const engine = random.pick(fleet.engines);
    const fault = random.pick(ENGINE_FAULTS);
    faults.push(fault);
    await injectEngineFault(fleet, engine, fault, random);
  }
  const gateway = random.pick(fleet.gateways);
  if (options.freezesGateways && random.chance(0.5)) {
    faults.push('gateway-freeze');
    faultedGateways.add(gateway.url);
    await freeze(gateway, random.between(100, 800));
  }
  if (options.killsGateways && random.chance(0.5)) {
    faults.push('gateway-kill');
    faultedGateways.add(gateway.url);
    await gateway.kill();
    await fleet.replaceGateway(gateway);
  }
  const calls = await Promise.all(pendingCalls);
  await clearEngineFaults(fleet);
  await fleet.waitReady();
  return { calls, faults, faultedGateways };
}

/** Every admitted request finishes or fails within its time limit. */
export const withinLimit: Scenario = {
  name: 'within-limit',
  guarantee: 'every admitted request finishes or fails within its time limit',
  fleet: FLEET,
  run: async (fleet, random) => {
    const loadOptions = {
      calls: 24,
      cancelShare: 0,
      groupEvery: 20,
      killsGateways: false,
      freezesGateways: false,
    };
    const { calls, faults, faultedGateways } = await runLoadWithFaults(fleet, random, loadOptions);
    return {
      faults,
      codes: calls.map(({ code }) => code),
      violations: checkWithinLimit(calls, faultedGateways, RESPONSE_GRACE_MS),
    };
  },
};

/** No engine leaks memory, and no request loses memory that it still uses. */
export const engineMemory: Scenario = {
  name: 'engine-memory',
  guarantee: 'no engine leaks memory',
  fleet: FLEET,
  run: async (fleet, random) => {
    const loadOptions = {
      calls: 30,
      cancelShare: 0.3,
      groupEvery: 3,
      killsGateways: true,
      freezesGateways: true,
    };
    const { calls, faults } = await runLoadWithFaults(fleet, random, loadOptions);
    const held = await waitForFreeMemory(fleet, MEMORY_FREE_MS);
    const violations = [...checkMemory(held), ...checkCompleteAnswers(calls)];
    return { faults, codes: calls.map(({ code }) => code), violations };
  },
};

/** A caller receives the complete answer to its own request and no other. */
export const completeAnswer: Scenario = {
  name: 'whole-answer',
  guarantee: 'a caller receives the complete answer to its own request and no other',
  fleet: FLEET,
  run: async (fleet, random) => {
    const loadOptions = {
      calls: 24,
      cancelShare: 0.1,
      groupEvery: 20,
      killsGateways: true,
      freezesGateways: true,
    };
    const { calls, faults } = await runLoadWithFaults(fleet, random, loadOptions);
    return {
      faults,
      codes: calls.map(({ code }) => code),
      violations: checkCompleteAnswers(calls),
    };
  },
};

/** A request whose caller receives a code that says that it did not run has not been run. */
export const reportedNotRun: Scenario = {
  name: 'told-not-run',
  guarantee: 'a request that is reported as not run was not run',
  fleet: FLEET,
  run: async (fleet, random) => {
    const loadOptions = {
      calls: 40,
      cancelShare: 0.1,
      groupEvery: 20,
      killsGateways: false,
      freezesGateways: true,
    };
    const { calls, faults } = await runLoadWithFaults(fleet, random, loadOptions);
    return {
      faults,
      codes: calls.map(({ code }) => code),
      violations: checkNotRun(calls, allRunRequests(fleet)),
    };
  },
};
