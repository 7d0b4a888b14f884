import { isResultName, parseJson } from '@poppypond/core';
import { getJson, setFaults } from '@poppypond/launch';
import type { Fleet, FleetOptions } from '@poppypond/launch';
import { sampleKey } from '@poppypond/load';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import { checkAtMostOnce, checkNotRun } from '../checkers/checkers.js';
import type { ServiceCall, ServiceRun } from '../history.js';
import type { Scenario } from '../scenario.js';
import type { ScenarioRandom } from '../random.js';
import { sleep } from './callers.js';
import { freeze } from './faults.js';

const FLEET: FleetOptions = {
  gateways: 3,
  engines: 1,
  services: 2,
  gatewayFlags: { 'store-timeout-ms': 250 },
  platformFlags: { 'writes-per-second': 1000 },
};

const KEYS = 5;
const SENDS_PER_KEY = 4;
const CALL_TIMEOUT_MS = 4000;
const FAULTS = [
  'service-loses-answer',
  'service-refuses',
  'write-answer-lost',
  'late-write',
  'store-down',
  'store-hangs',
  'gateway-freeze',
  'gateway-kill',
] as const;

const truthSchema = z.object({
  runs: z.array(z.object({ requestId: z.string(), body: z.string() })),
});
const receiptSchema = z.object({ receipt: z.number() });
const errorSchema = z.object({ error: z.object({ code: z.string() }) });

let runCount = 0;

async function sendOnce(gateway: string, key: string): Promise<ServiceCall> {
  const reply = await callHttp({
    method: 'POST',
    url: `${gateway}/services/register/charges`,
    headers: { authorization: `Bearer ${sampleKey('members')}`, 'idempotency-key': key },
    body: key,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  if (reply.isErr) return { gateway, key, requestId: '', code: 'lost', receipt: undefined };
  const requestId = String(reply.value.headers['x-poppypond-request'] ?? '');
  const value = parseJson(reply.value.body);
  const receipt = receiptSchema.safeParse(value);
  if (reply.value.status === 200 && receipt.success) {
    return { gateway, key, requestId, code: 'ok', receipt: receipt.data.receipt };
  }
  const error = errorSchema.safeParse(value);
  const code = error.success ? error.data.error.code : '';
  return { gateway, key, requestId, code: isResultName(code) ? code : 'lost', receipt: undefined };
}

/**
 * Sends a key to one host after another, like a caller that retries as long as it has no answer.
 */
async function sendKey(
  fleet: Fleet,
  key: string,
  random: ScenarioRandom,
): Promise<readonly ServiceCall[]> {
  const calls: ServiceCall[] = [];
  for (let sends = 0; sends < SENDS_PER_KEY; sends += 1) {
    await sleep(random.between(0, 120));
    const call = await sendOnce(random.pick(fleet.gateways).url, key);
    calls.push(call);
    if (call.code === 'ok' && random.chance(0.6)) break;
  }
  return calls;
}

async function injectFault(
  fleet: Fleet,
  fault: (typeof FAULTS)[number],
  random: ScenarioRandom,
): Promise<void> {
  const services = fleet.services.map((service) => service.program.url);
  const platform = (faults: Readonly<Record<string, unknown>>) =>
    setFaults(fleet.platform.url, faults);
  const gateway = random.pick(fleet.gateways);
  switch (fault) {
    case 'service-loses-answer':
      return setFaults(random.pick(services), { loseAnswers: random.between(1, 2) });
    case 'service-refuses':
      return setFaults(random.pick(services), { refuseCalls: random.between(1, 3) });
    case 'write-answer-lost':
      return platform({
        loseWriteAnswers: random.between(1, 4),
        lostPrefix: 'once/',
        lostEffectDelayMs: 0,
      });
    case 'late-write':
      return platform({
        loseWriteAnswers: random.between(1, 4),
        lostPrefix: 'once/',
        lostEffectDelayMs: random.between(20, 500),
      });
    case 'store-down':
      await platform({ down: true });
      await sleep(random.between(50, 400));
      return platform({ down: false });
    case 'store-hangs':
      await platform({ hang: true });
      await sleep(random.between(50, 400));
      return platform({ hang: false });
    case 'gateway-freeze':
      return freeze(gateway, random.between(50, 600));
    case 'gateway-kill':
      await gateway.kill();
      await fleet.replaceGateway(gateway);
  }
}

async function readRuns(fleet: Fleet): Promise<readonly ServiceRun[]> {
  const truths = await Promise.all(
    fleet.services.map(({ program }) => getJson(`${program.url}/truth`)),
  );
  return truths.flatMap((truth) =>
    truthSchema.parse(truth).runs.map((run, index) => ({ ...run, receipt: index + 1 })),
  );
}

async function clearFaults(fleet: Fleet): Promise<void> {
  await setFaults(fleet.platform.url, { down: false, hang: false, loseWriteAnswers: 0 });
  for (const { program } of fleet.services) {
    await setFaults(program.url, { loseAnswers: 0, refuseCalls: 0 });
  }
}

/** A call that may not be repeated runs at most once. */
export const atMostOnce: Scenario = {
  name: 'at-most-once',
  guarantee: 'a call that may not be repeated runs at most once',
  fleet: FLEET,
  run: async (fleet, random) => {
    runCount += 1;
    const keys = Array.from({ length: KEYS }, (_, key) => `k-${String(runCount)}-${String(key)}`);
    const sending = keys.map((key) => sendKey(fleet, key, random));
    const faults: string[] = [];
    for (let count = random.between(1, 3); count > 0; count -= 1) {
      const fault = random.pick(FAULTS);
      faults.push(fault);
      await injectFault(fleet, fault, random);
    }
    const calls = (await Promise.all(sending)).flat();
    await clearFaults(fleet);
    await fleet.waitReady();
    const runs = (await readRuns(fleet)).filter(({ body }) => keys.includes(body));
    const ran = new Set(runs.map((run) => run.requestId));
    const violations = [...checkAtMostOnce(calls, runs), ...checkNotRun(calls, ran)];
    return { faults, codes: calls.map(({ code }) => code), violations };
  },
};
