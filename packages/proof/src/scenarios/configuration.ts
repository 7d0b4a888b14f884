import { getJson, setFaults } from '@poppypond/launch';
import type { Fleet, FleetOptions } from '@poppypond/launch';
import { z } from 'zod';
import { checkRevisions } from '../checkers/checkers.js';
import type { AcceptedRevision, ObservedRevision } from '../history.js';
import type { Scenario } from '../scenario.js';
import type { ScenarioRandom } from '../random.js';
import { sleep } from './callers.js';
import { freeze } from './faults.js';

const FLEET: FleetOptions = {
  gateways: 5,
  engines: 1,
  services: 0,
  gatewayFlags: { 'store-timeout-ms': 300, 'config-poll-ms': 500 },
};

const OPERATORS = 3;
const CHANGES_EACH = 3;
/** Time in which an accepted revision must be active on every gateway. */
const MAX_ACTIVATION_MS = 3000;
const POLL_PERIOD_MS = 40;
const SETTLE_MS = 1200;
const FAULTS = [
  'store-down',
  'write-answer-lost',
  'gateway-kill',
  'gateway-freeze',
  'late-start',
] as const;

const statusSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  revision: z.number(),
});

async function observeRevisions(
  fleet: Fleet,
  seen: ObservedRevision[],
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    await Promise.all(
      fleet.gateways.map(async (gateway) => {
        const requestedAtMs = performance.now();
        const status = statusSchema.safeParse(await getJson(`${gateway.url}/status`));
        if (status.success) seen.push({ ...status.data, atMs: requestedAtMs });
      }),
    );
    await sleep(POLL_PERIOD_MS);
  }
}

/** Makes the changes of one operator, to the same few workspaces as the other operators. */
async function applyChanges(
  fleet: Fleet,
  accepted: AcceptedRevision[],
  random: ScenarioRandom,
): Promise<void> {
  for (let change = 0; change < CHANGES_EACH; change += 1) {
    const name = random.pick(['members', 'audit']);
    const spec = { weight: random.between(1, 50) };
    const object = { kind: 'workspace', name, labels: { team: 'assistant' }, spec };
    const revision = await fleet.apply([object], 'race').catch(() => undefined);
    if (revision !== undefined) accepted.push({ atMs: performance.now(), revision });
    await sleep(random.between(0, 150));
  }
}

async function injectFault(
  fleet: Fleet,
  fault: (typeof FAULTS)[number],
  random: ScenarioRandom,
): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  const platform = (faults: Readonly<Record<string, unknown>>) =>
    setFaults(fleet.platform.url, faults);
  switch (fault) {
    case 'store-down':
      await platform({ down: true });
      await sleep(random.between(100, 600));
      return platform({ down: false });
    case 'write-answer-lost':
      return platform({ loseWriteAnswers: 1, lostPrefix: 'config/', lostEffectDelayMs: 0 });
    case 'gateway-kill':
      await gateway.kill();
      await fleet.replaceGateway(gateway);
      return;
    case 'gateway-freeze':
      return freeze(gateway, random.between(100, 800));
    case 'late-start':
      await platform({ down: true });
      await gateway.kill();
      await fleet.replaceGateway(gateway);
      await sleep(random.between(100, 500));
      return platform({ down: false });
  }
}

/** An accepted configuration is active on every host within seconds and never reverts. */
export const configuration: Scenario = {
  name: 'configuration',
  guarantee: 'an accepted configuration is active on every host within seconds and never reverts',
  fleet: FLEET,
  run: async (fleet, random) => {
    const seen: ObservedRevision[] = [];
    const accepted: AcceptedRevision[] = [];
    let isOver = false;
    const observing = observeRevisions(fleet, seen, () => isOver);
    const applying = Array.from({ length: OPERATORS }, () => applyChanges(fleet, accepted, random));
    const faults: string[] = [];
    for (let count = random.between(1, 2); count > 0; count -= 1) {
      const fault = random.pick(FAULTS);
      faults.push(fault);
      await injectFault(fleet, fault, random);
    }
    await Promise.all(applying);
    await setFaults(fleet.platform.url, { down: false, loseWriteAnswers: 0 });
    await sleep(SETTLE_MS);
    await fleet.waitReady();
    await sleep(POLL_PERIOD_MS * 2);
    isOver = true;
    await observing;
    const violations = checkRevisions(seen, accepted, MAX_ACTIVATION_MS);
    return { faults, codes: accepted.map(() => 'accepted'), violations };
  },
};
