import { getJson, setFaults, waitUntil } from '@poppypond/launch';
import type { Fleet, FleetOptions } from '@poppypond/launch';
import { SAMPLE_MODEL } from '@poppypond/load';
import { z } from 'zod';
import { checkFences, checkNoGap } from '../checkers/checkers.js';
import type { Scenario } from '../scenario.js';
import type { ScenarioRandom } from '../random.js';
import { sleep } from './callers.js';
import { freeze } from './faults.js';

const FLEET: FleetOptions = {
  gateways: 1,
  engines: 4,
  services: 0,
  controllers: 2,
  platformFlags: { 'weight-ms': 60 },
  controllerFlags: {
    'lease-ms': 1200,
    'plan-period-ms': 100,
    'order-ms': 800,
    'store-timeout-ms': 300,
  },
};

const FAULTS = [
  'holder-freeze',
  'holder-kill',
  'store-down',
  'write-answer-lost',
  'engine-kill',
] as const;
const ROLLOUT_TIMEOUT_MS = 20_000;
const POLL_PERIOD_MS = 30;
/** Longer than the lease, so that another controller acquires it meanwhile. */
const LONG_FREEZE_MS = 2500;

const truthSchema = z.object({
  followed: z.array(z.object({ order: z.object({ fence: z.number() }) })),
});
const loadSchema = z.object({ models: z.record(z.string(), z.string()) });
const statusSchema = z.object({
  pools: z.array(z.object({ pool: z.string(), fence: z.number().nullable() })),
});

let lastVersion = 1;

async function readModelVersions(fleet: Fleet): Promise<readonly (string | undefined)[]> {
  const loads = await Promise.all(fleet.engines.map(({ url }) => getJson(`${url}/load`)));
  return loads.map((load) => {
    const parsed = loadSchema.safeParse(load);
    return parsed.success ? parsed.data.models[SAMPLE_MODEL] : undefined;
  });
}

/** Returns a controller that reports holding the lease of the engine pool, or undefined. */
async function findLeaseHolder(fleet: Fleet) {
  for (const controller of fleet.controllers) {
    if (controller.hasExited) continue;
    const status = statusSchema.safeParse(await getJson(`${controller.url}/status`));
    const pools = status.success ? status.data.pools : [];
    if (pools.some(({ pool, fence }) => pool === 'engines' && fence !== null)) return controller;
  }
  return undefined;
}

async function injectFault(
  fleet: Fleet,
  fault: (typeof FAULTS)[number],
  random: ScenarioRandom,
): Promise<void> {
  const platform = (faults: Readonly<Record<string, unknown>>) =>
    setFaults(fleet.platform.url, faults);
  switch (fault) {
    case 'holder-freeze': {
      const holder = await findLeaseHolder(fleet);
      if (holder) await freeze(holder, LONG_FREEZE_MS);
      return;
    }
    case 'holder-kill': {
      const holder = await findLeaseHolder(fleet);
      if (!holder) return;
      await holder.kill();
      await fleet.startController();
      return;
    }
    case 'store-down':
      await platform({ down: true });
      await sleep(random.between(200, 1500));
      return platform({ down: false });
    case 'write-answer-lost':
      return platform({
        loseWriteAnswers: random.between(1, 3),
        lostPrefix: 'lease/',
        lostEffectDelayMs: 0,
      });
    case 'engine-kill':
      await fleet.replaceEngine(random.pick(fleet.engines));
  }
}

async function readFencesByEngine(fleet: Fleet): Promise<ReadonlyMap<string, readonly number[]>> {
  const truths = await Promise.all(
    fleet.engines.map(async ({ name, url }) => {
      const { followed } = truthSchema.parse(await getJson(`${url}/truth`));
      return [name, followed.map(({ order }) => order.fence)] as const;
    }),
  );
  return new Map(truths);
}

/**
 * An engine executes no command of an older lease after one of a newer lease, and at every moment
 * of a rollout some engine holds the model.
 */
export const fencedCommands: Scenario = {
  name: 'fenced-orders',
  guarantee:
    'no engine that checks fencing tokens executes an older command after a newer one; rollouts leave no gap',
  fleet: FLEET,
  run: async (fleet, random) => {
    lastVersion += 1;
    const version = String(lastVersion);
    const pools = [{ key: 'serves', operator: 'equals', value: 'engines' }];
    await fleet.apply(
      [{ kind: 'model', name: SAMPLE_MODEL, labels: {}, spec: { version, pools } }],
      'rollout',
    );
    const seen: number[] = [];
    let isOver = false;
    const observing = (async () => {
      while (!isOver) {
        seen.push((await readModelVersions(fleet)).filter((held) => held !== undefined).length);
        await sleep(POLL_PERIOD_MS);
      }
    })();
    await sleep(random.between(0, 400));
    const fault = random.pick(FAULTS);
    await injectFault(fleet, fault, random);
    await setFaults(fleet.platform.url, { down: false, loseWriteAnswers: 0 });
    const isRolledOut = async () =>
      (await readModelVersions(fleet)).every((held) => held === version);
    const late: string[] = [];
    await waitUntil(`version ${version} on every engine`, isRolledOut, ROLLOUT_TIMEOUT_MS).catch(
      () => {
        late.push(
          `version ${version} is not on every engine after ${String(ROLLOUT_TIMEOUT_MS)} ms`,
        );
      },
    );
    isOver = true;
    await observing;
    const violations = [
      ...checkFences(await readFencesByEngine(fleet)),
      ...checkNoGap(seen),
      ...late,
    ];
    return { faults: [fault], codes: ['rolled out'], violations };
  },
};
