import { parseJson } from '@poppypond/core';
import { keySha256, SAMPLE_OPERATOR_KEY, sampleObjects } from '@poppypond/load';
import type { SampleObject, SampleServer } from '@poppypond/load';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import { startProgram } from './program.js';
import type { Flags, RunningProgram } from './program.js';

/** What a fleet consists of. */
export interface FleetOptions {
  readonly gateways: number;
  readonly engines: number;
  readonly services: number;
  readonly controllers?: number;
  /** Restarts the admin program with the gateways' addresses, once the gateways have started. */
  readonly passesGatewaysToAdmin?: boolean;
  readonly zones?: readonly string[];
  readonly gatewayFlags?: Flags;
  readonly engineFlags?: Flags;
  readonly platformFlags?: Flags;
  readonly controllerFlags?: Flags;
  /** Objects beside the sample's; one with the same kind and name replaces the sample's. */
  readonly objects?: readonly SampleObject[];
}

/** A backend server that runs as its own process. */
export interface FleetServer extends SampleServer {
  readonly program: RunningProgram;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 25;
const MAX_REPORT_AGE_MS = 2000;
const CALL_TIMEOUT_MS = 10_000;
const DEFAULT_ZONES = ['regina-a', 'saskatoon-b', 'brandon-c'];

const statusSchema = z.object({ engines: z.array(z.object({ reportAgeMs: z.number() })) });
const appliedSchema = z.object({ revision: z.int() });

/**
 * Polls until `check` returns true, so that a wait ends with an observable event and not after a
 * fixed time. Throws after `timeoutMs`.
 */
export async function waitUntil(
  what: string,
  check: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > untilMs) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

/** Gets JSON. Returns undefined unless a response with status 200 arrives. */
export async function getJson(url: string): Promise<unknown> {
  const reply = await callHttp({ method: 'GET', url, timeoutMs: CALL_TIMEOUT_MS });
  return reply.isOk && reply.value.status === 200 ? parseJson(reply.value.body) : undefined;
}

/** Sets fault switches of a fake server. Throws if they are not accepted. */
export async function setFaults(
  url: string,
  faults: Readonly<Record<string, unknown>>,
): Promise<void> {
  const body = JSON.stringify(faults);
  const reply = await callHttp({
    method: 'POST',
    url: `${url}/faults`,
    body,
    timeoutMs: CALL_TIMEOUT_MS,
  });
  if (reply.isErr || reply.value.status !== 200) throw new Error(`could not set faults at ${url}`);
}

function startAdmin(platformUrl: string, gateways: readonly string[]): Promise<RunningProgram> {
  return startProgram('admin', [], {
    host: 'admin-1',
    'listen-port': 0,
    'platform-url': platformUrl,
    'bootstrap-key-sha256': keySha256(SAMPLE_OPERATOR_KEY),
    'log-level': 'warn',
    ...(gateways.length > 0 ? { gateways: gateways.join(',') } : {}),
  });
}

/** A fleet of processes on loopback: fake platform and servers, gateways, controllers, admin. */
export class Fleet {
  readonly gateways: RunningProgram[] = [];
  readonly controllers: RunningProgram[] = [];
  readonly engines: FleetServer[] = [];
  readonly services: FleetServer[] = [];
  #startedCount = 0;

  private constructor(
    readonly options: FleetOptions,
    readonly platform: RunningProgram,
    public admin: RunningProgram,
  ) {}

  get zones(): readonly string[] {
    return this.options.zones ?? DEFAULT_ZONES;
  }

  /** Starts all processes and waits until every gateway is ready and knows every engine's load. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const platform = await startProgram('standin', ['platform'], { ...options.platformFlags });
    const admin = await startAdmin(platform.url, []);
    const fleet = new Fleet(options, platform, admin);
    await fleet.#startServers();
    const objects = new Map(
      [...sampleObjects(fleet.engines, fleet.services), ...(options.objects ?? [])].map(
        (object) => [`${object.kind}/${object.name}`, object],
      ),
    );
    await fleet.apply([...objects.values()], 'first');
    for (let index = 0; index < options.gateways; index += 1) await fleet.startGateway();
    await fleet.waitReady();
    if (options.passesGatewaysToAdmin) {
      await fleet.admin.kill();
      const urls = fleet.gateways.map((gateway) => gateway.url);
      fleet.admin = await startAdmin(platform.url, urls);
    }
    for (let index = 0; index < (options.controllers ?? 0); index += 1)
      await fleet.startController();
    return fleet;
  }

  async #startServers(): Promise<void> {
    const { engines, services } = this.options;
    const starting = Array.from({ length: engines }, () => this.startEngine());
    this.engines.push(...(await Promise.all(starting)));
    for (let index = 0; index < services; index += 1) {
      const program = await startProgram('standin', ['service'], {});
      const zone = this.zones[index % this.zones.length] ?? '';
      const url = `${program.url}/call`;
      this.services.push({ name: `register-${String(index + 1)}`, url, zone, program });
    }
  }

  /** Starts an engine. The caller adds it to the configuration. */
  async startEngine(): Promise<FleetServer> {
    this.#startedCount += 1;
    const number = this.#startedCount;
    const program = await startProgram('standin', ['engine'], {
      'platform-url': this.platform.url,
      ...this.options.engineFlags,
    });
    const zone = this.zones[number % this.zones.length] ?? '';
    return { name: `engine-${String(number).padStart(3, '0')}`, url: program.url, zone, program };
  }

  /** Kills an engine and starts another at the same address. */
  async replaceEngine(engine: FleetServer): Promise<FleetServer> {
    await engine.program.kill();
    const program = await startProgram('standin', ['engine'], {
      'platform-url': this.platform.url,
      ...this.options.engineFlags,
      'listen-port': new URL(engine.url).port,
    });
    const next = { ...engine, program };
    this.engines[this.engines.indexOf(engine)] = next;
    for (const request of engine.program.ran) program.ran.add(request);
    return next;
  }

  /** Starts a gateway and lists it in place of one that has exited or is about to. */
  async replaceGateway(gateway: RunningProgram): Promise<RunningProgram> {
    const next = await this.startGateway();
    this.gateways.pop();
    this.gateways[this.gateways.indexOf(gateway)] = next;
    return next;
  }

  async startGateway(flags: Flags = {}): Promise<RunningProgram> {
    this.#startedCount += 1;
    const seeds = this.gateways
      .filter((gateway) => !gateway.hasExited)
      .map((gateway) => gateway.listening.get('peers') ?? '');
    const gateway = await startProgram('gateway', [], {
      host: `host-${String(this.#startedCount)}`,
      zone: this.zones[this.#startedCount % this.zones.length] ?? '',
      'listen-port': 0,
      'peer-port': 0,
      'platform-url': this.platform.url,
      'log-level': 'warn',
      'drain-delay-ms': 200,
      ...(seeds.length > 0 ? { peers: seeds.slice(0, 3).join(',') } : {}),
      ...this.options.gatewayFlags,
      ...flags,
    });
    this.gateways.push(gateway);
    return gateway;
  }

  async startController(flags: Flags = {}): Promise<RunningProgram> {
    this.#startedCount += 1;
    const controller = await startProgram('controller', [], {
      host: `host-${String(this.#startedCount)}`,
      'listen-port': 0,
      'platform-url': this.platform.url,
      gateways: this.gateways.map((gateway) => gateway.url).join(','),
      'log-level': 'warn',
      ...this.options.controllerFlags,
      ...flags,
    });
    this.controllers.push(controller);
    return controller;
  }

  /** Waits until each running gateway is ready and has a recent report of each engine. */
  async waitReady(): Promise<void> {
    const isReady = async () => (await this.#findNotReady()) === undefined;
    await waitUntil('gateways ready', isReady).catch(async () => {
      throw new Error(`not ready: ${(await this.#findNotReady()) ?? 'late'}`);
    });
  }

  /** Describes a gateway that is not ready and why. Returns undefined if all are ready. */
  async #findNotReady(): Promise<string | undefined> {
    for (const gateway of this.gateways) {
      if (gateway.hasExited) continue;
      const url = `${gateway.url}/readyz`;
      const reply = await callHttp({ method: 'GET', url, timeoutMs: CALL_TIMEOUT_MS });
      if (reply.isErr || reply.value.status !== 200) {
        return `${gateway.url}: ${reply.isErr ? reply.error.detail : reply.value.body} ${gateway.log}`;
      }
      const status = statusSchema.safeParse(await getJson(`${gateway.url}/status`));
      if (!status.success) return `${gateway.url}: no status`;
      const fresh = status.data.engines.filter(
        ({ reportAgeMs }) => reportAgeMs < MAX_REPORT_AGE_MS,
      );
      if (fresh.length < this.engines.length) {
        return `${gateway.url}: reports of ${String(fresh.length)} engines`;
      }
    }
    return undefined;
  }

  /** Applies objects as the sample operator. Returns the revision that contains them. */
  async apply(objects: readonly SampleObject[], why: string): Promise<number> {
    const reply = await callHttp({
      method: 'POST',
      url: `${this.admin.url}/v1/apply`,
      headers: { authorization: `Bearer ${SAMPLE_OPERATOR_KEY}` },
      body: JSON.stringify({ why, objects }),
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (reply.isErr) throw new Error(`not applied: ${reply.error.detail}`);
    if (reply.value.status !== 200) throw new Error(`not applied: ${reply.value.body}`);
    return appliedSchema.parse(parseJson(reply.value.body)).revision;
  }

  /** Kills every process, including suspended ones. */
  async stop(): Promise<void> {
    const servers = [...this.engines, ...this.services].map((server) => server.program);
    const programs = [...this.gateways, ...this.controllers, this.admin, ...servers, this.platform];
    for (const program of programs) program.signal('SIGCONT');
    await Promise.all(programs.map((program) => program.kill()));
  }
}
