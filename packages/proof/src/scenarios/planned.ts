import { setFaults, waitUntil, getJson } from '@poppypond/launch';
import type { Fleet, FleetOptions, RunningProgram } from '@poppypond/launch';
import { SAMPLE_OPERATOR_KEY } from '@poppypond/load';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import { checkLeaving, checkNoErrors } from '../checkers/checkers.js';
import type { CompletionCall } from '../history.js';
import type { Scenario } from '../scenario.js';
import type { ScenarioRandom } from '../random.js';
import { ask, sleep } from './callers.js';
import { readEngineTruth } from './faults.js';

const ENGINE_FLAGS = { 'step-base-ms': 1, 'prefill-ms': 0.002, 'kv-tokens': 40_000 };
const GATEWAY_FLAGS = { 'prefill-tokens-per-ms': 300, 'decode-step-ms': 2, 'step-ms': 4 };

const FLEET: FleetOptions = {
  gateways: 3,
  engines: 6,
  services: 0,
  engineFlags: ENGINE_FLAGS,
  gatewayFlags: GATEWAY_FLAGS,
  platformFlags: { 'host-list-lag-ms': 1500 },
};

/** Time in which a leaving server may still receive new work. */
const LEAVING_ALLOWED_MS = 3000;
const LEAVING_OBSERVED_MS = 3800;
const CALL_GAP_MS = 15;
const EXPLAIN_TIMEOUT_MS = 2000;
/** Share of calls that need a group of engines, within the capacity of the pool's groups. */
const GROUP_PROMPT_SHARE = 0.02;
const CALL_OPTIONS = { maxTokens: 16, limitMs: 20_000 };

/** Load balancer that picks only gateways that report themselves ready. */
class Balancer {
  #ready: readonly RunningProgram[];
  #isStopped = false;

  constructor(readonly fleet: Fleet) {
    this.#ready = fleet.gateways;
    void this.#probe();
  }

  async #probe(): Promise<void> {
    while (!this.#isStopped) {
      const checks = await Promise.all(
        this.fleet.gateways.map(async (gateway) => ({
          gateway,
          isReady: (await getJson(`${gateway.url}/readyz`)) !== undefined,
        })),
      );
      this.#ready = checks.filter(({ isReady }) => isReady).map(({ gateway }) => gateway);
      await sleep(CALL_GAP_MS);
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  choose(random: ScenarioRandom): string {
    return random.pick(this.#ready).url;
  }
}

/**
 * Sends calls with short prompts and with prompts that need a group, one every CALL_GAP_MS, until
 * `isOver` returns true. Returns all calls after they have ended.
 */
async function sendUntil(
  pickGateway: () => string,
  random: ScenarioRandom,
  isOver: () => boolean,
): Promise<readonly CompletionCall[]> {
  const pendingCalls: Promise<CompletionCall>[] = [];
  while (!isOver()) {
    const needsGroup = random.chance(GROUP_PROMPT_SHARE);
    const promptTokens = needsGroup ? random.between(45_000, 90_000) : random.between(200, 3000);
    pendingCalls.push(ask({ gateway: pickGateway(), promptTokens, ...CALL_OPTIONS }, random));
    await sleep(CALL_GAP_MS);
  }
  return Promise.all(pendingCalls);
}

/**
 * Marks an engine as leaving, waits until it is idle, kills it, and starts another in its place.
 */
async function replaceEngineGracefully(fleet: Fleet, random: ScenarioRandom): Promise<void> {
  const engine = random.pick(fleet.engines);
  await setFaults(engine.url, { leaving: true });
  const loadSchema = z.object({ running: z.number(), waiting: z.number(), heldTokens: z.number() });
  await waitUntil('the engine is idle', async () => {
    const load = loadSchema.parse(await getJson(`${engine.url}/load`));
    return load.running === 0 && load.waiting === 0 && load.heldTokens === 0;
  });
  await fleet.replaceEngine(engine);
}

/** Stops a gateway as in a planned stop, with SIGTERM once its replacement is ready. */
async function replaceGatewayGracefully(fleet: Fleet, random: ScenarioRandom): Promise<void> {
  const gateway = random.pick(fleet.gateways);
  await fleet.replaceGateway(gateway);
  await fleet.waitReady();
  gateway.signal('SIGTERM');
  const code = await gateway.ended();
  if (code !== 0) throw new Error(`the gateway exited with code ${String(code)}: ${gateway.log}`);
}

/** Returns what the gateways recorded about the decisions on a request, to trace a violation. */
async function explainRequest(fleet: Fleet, requestId: string): Promise<string> {
  const replies = await Promise.all(
    fleet.gateways.map((gateway) =>
      callHttp({
        method: 'GET',
        url: `${gateway.url}/explain/${encodeURIComponent(requestId)}?local=1`,
        headers: { authorization: `Bearer ${SAMPLE_OPERATOR_KEY}` },
        timeoutMs: EXPLAIN_TIMEOUT_MS,
      }),
    ),
  );
  return replies.map((reply) => (reply.isOk ? reply.value.body : reply.error.detail)).join('\n');
}

/** A planned stop of an engine or host interrupts no request in progress. */
export const plannedStop: Scenario = {
  name: 'planned-stop',
  guarantee: 'a planned stop interrupts no request in progress',
  fleet: FLEET,
  run: async (fleet, random) => {
    const balancer = new Balancer(fleet);
    let isOver = false;
    const sending = sendUntil(
      () => balancer.choose(random),
      random,
      () => isOver,
    );
    const isEngine = random.chance(0.5);
    await sleep(random.between(50, 200));
    if (isEngine) await replaceEngineGracefully(fleet, random);
    else await replaceGatewayGracefully(fleet, random);
    isOver = true;
    const calls = await sending;
    balancer.stop();
    await fleet.waitReady();
    const refused = calls.filter(({ code }) => code !== 'ok');
    const explanations = await Promise.all(
      refused.map(({ requestId }) => explainRequest(fleet, requestId)),
    );
    for (const explanation of explanations) process.stderr.write(`${explanation}\n`);
    const faults = [isEngine ? 'engine-planned-stop' : 'gateway-planned-stop'];
    return { faults, codes: calls.map(({ code }) => code), violations: checkNoErrors(calls) };
  },
};

function rotate<Item>(items: readonly Item[], by: number): readonly Item[] {
  return [...items.slice(by), ...items.slice(0, by)];
}

async function setListedState(
  fleet: Fleet,
  host: string,
  state: 'leaving' | 'live',
): Promise<void> {
  const body = JSON.stringify({ host, state });
  await callHttp({ method: 'POST', url: `${fleet.platform.url}/hosts`, body, timeoutMs: 2000 });
}

/** A leaving backend server receives no new work after a few seconds. */
export const leavingServer: Scenario = {
  name: 'leaving-server',
  guarantee: 'a leaving backend server receives no new work after a few seconds',
  fleet: FLEET,
  run: async (fleet, random) => {
    const [selfReported, listedLeaving] = rotate(
      fleet.engines,
      random.between(0, fleet.engines.length - 1),
    );
    if (!selfReported || !listedLeaving) throw new Error('the fleet has fewer than two engines');
    const sinceMs = Date.now();
    await setFaults(selfReported.url, { leaving: true });
    await setListedState(fleet, listedLeaving.name, 'leaving');
    const pickGateway = () => random.pick(fleet.gateways).url;
    const calls = await sendUntil(
      pickGateway,
      random,
      () => Date.now() - sinceMs > LEAVING_OBSERVED_MS,
    );
    const truths = await Promise.all([
      readEngineTruth(selfReported),
      readEngineTruth(listedLeaving),
    ]);
    const starts = truths.flatMap(({ runs }) => runs.map((run) => run.startedAtMs));
    await setListedState(fleet, listedLeaving.name, 'live');
    await setFaults(selfReported.url, { leaving: false });
    const faults = ['leaving-by-own-word', 'leaving-by-late-list'];
    const violations = [
      ...checkLeaving(starts, sinceMs, LEAVING_ALLOWED_MS),
      ...checkNoErrors(calls),
    ];
    return { faults, codes: calls.map(({ code }) => code), violations };
  },
};
