import type { ServerResponse } from 'node:http';
import { delay } from '@poppypond/core';
import type { Clock, Json } from '@poppypond/core';
import { listen, parseBody, readBody, Router, sendFault, sendJson } from '@poppypond/web';
import type { ListeningServer, RouteContext } from '@poppypond/web';
import { z } from 'zod';
import { noPlatformFaults, platformFaultsSchema } from './faults.js';
import type { PlatformFaults } from './faults.js';
import { RateLimiter } from './rate-limiter.js';
import { Table, transactionSchema } from './table.js';
import type { Transaction } from './table.js';

const MAX_BODY_BYTES = 64_000_000;
const BODY_TIMEOUT_MS = 30_000;
const MAX_PAGE_SIZE = 1000;
const MS_PER_SECOND = 1000;

/** Settings of the fake platform. */
export interface PlatformOptions {
  readonly address: string;
  readonly port: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  readonly hostListLagMs: number;
  /** Time to load one model's weights while no other load is in progress. */
  readonly weightMs: number;
}

interface HostChange {
  readonly atMs: number;
  readonly host: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

const hostSchema = z.object({ host: z.string(), state: z.enum(['live', 'leaving', 'gone']) });

/** The fake platform: table, object store, host list and weight store. */
export class FakePlatform {
  readonly table: Table;
  readonly faults: PlatformFaults;
  readonly writes: RateLimiter;
  readonly reads: RateLimiter;
  readonly objects = new Map<string, Buffer>();
  readonly #hostChanges: HostChange[] = [];
  #weightsFreeAtMs = 0;

  constructor(
    readonly options: PlatformOptions,
    readonly clock: Clock,
  ) {
    this.table = new Table(clock);
    this.faults = noPlatformFaults(options.hostListLagMs);
    this.writes = new RateLimiter(options.writesPerSecond, clock);
    this.reads = new RateLimiter(options.readsPerSecond, clock);
  }

  /** Applies the outage switches to a call. Returns false if the call gets no response. */
  async applyOutageFaults(response: ServerResponse): Promise<boolean> {
    if (this.faults.down) {
      response.destroy();
      return false;
    }
    if (this.faults.hang) return false;
    if (this.faults.slowMs > 0) await delay(this.clock, this.faults.slowMs);
    return true;
  }

  transact(transaction: Transaction, response: ServerResponse): void {
    const isLost =
      this.faults.loseWriteAnswers > 0 &&
      transaction.puts.some((put) => put.key.startsWith(this.faults.lostPrefix));
    if (isLost) {
      this.faults.loseWriteAnswers -= 1;
      this.clock.after(this.faults.lostEffectDelayMs, () => this.table.transact(transaction));
      response.destroy();
      return;
    }
    const failed = this.table.transact(transaction);
    if (failed.length > 0)
      sendJson(response, 409, { failed: failed.map((check) => ({ ...check })) });
    else sendJson(response, 200, { version: this.table.version });
  }

  setHost(change: Omit<HostChange, 'atMs'>): void {
    this.#hostChanges.push({ ...change, atMs: this.clock.monotonicMs() });
  }

  /** The host list as it was `hostListLagMs` ago. */
  listHosts(): Readonly<Record<string, string>> {
    const untilMs = this.clock.monotonicMs() - this.faults.hostListLagMs;
    const hosts: Record<string, string> = {};
    for (const { atMs, host, state } of this.#hostChanges) {
      if (atMs <= untilMs) hosts[host] = state;
    }
    return hosts;
  }

  /** Waits for one model's weights. Loads run one after another, as they share the bandwidth. */
  async loadWeights(): Promise<void> {
    const now = this.clock.monotonicMs();
    this.#weightsFreeAtMs = Math.max(now, this.#weightsFreeAtMs) + this.options.weightMs;
    await delay(this.clock, this.#weightsFreeAtMs - now);
  }
}

async function readBytes({ request, response }: RouteContext): Promise<Buffer | undefined> {
  const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
  if (body.isOk) return body.value;
  sendFault(response, body.error);
  return undefined;
}

function addTableRoutes(router: Router, platform: FakePlatform): void {
  const isAllowed = async (response: ServerResponse, limiter: RateLimiter): Promise<boolean> => {
    if (!(await platform.applyOutageFaults(response))) return false;
    if (limiter.allow()) return true;
    sendJson(response, 429, { refused: 'rate' });
    return false;
  };
  router
    .on('POST', '/table/transact', async (context) => {
      const body = await readBytes(context);
      if (!body || !(await isAllowed(context.response, platform.writes))) return;
      const parsed = parseBody(body.toString('utf8'), transactionSchema);
      if (parsed.isErr) return sendFault(context.response, parsed.error);
      platform.transact(parsed.value, context.response);
    })
    .on('GET', '/table/row', async ({ response, query }) => {
      if (!(await isAllowed(response, platform.reads))) return;
      const row = platform.table.get(query.get('key') ?? '');
      sendJson(response, 200, { row: row ? { ...row } : null });
    })
    .on('GET', '/table/scan', async ({ response, query }) => {
      if (!(await isAllowed(response, platform.reads))) return;
      const limit = Math.min(MAX_PAGE_SIZE, Number(query.get('limit') ?? MAX_PAGE_SIZE));
      const rows = platform.table.scan(query.get('prefix') ?? '', query.get('after') ?? '', limit);
      sendJson(response, 200, { rows: rows.map((row): Json => ({ ...row })) });
    })
    .on('PUT', '/objects/*', async (context) => {
      const body = await readBytes(context);
      if (!body || !(await isAllowed(context.response, platform.writes))) return;
      platform.objects.set(context.params['rest'] ?? '', body);
      sendJson(context.response, 200, {});
    })
    .on('GET', '/objects/*', async ({ response, params }) => {
      if (!(await isAllowed(response, platform.reads))) return;
      const object = platform.objects.get(params['rest'] ?? '');
      if (!object) return sendJson(response, 404, {});
      response.writeHead(200, { 'content-type': 'application/octet-stream' });
      response.end(object);
    })
    .on('DELETE', '/objects/*', async ({ response, params }) => {
      if (!(await isAllowed(response, platform.writes))) return;
      sendJson(response, platform.objects.delete(params['rest'] ?? '') ? 200 : 404, {});
    })
    .on('GET', '/objects', async ({ response, query }) => {
      if (!(await isAllowed(response, platform.reads))) return;
      const prefix = query.get('prefix') ?? '';
      const after = query.get('after') ?? '';
      const names = [...platform.objects.keys()].filter((name) => name.startsWith(prefix)).sort();
      sendJson(response, 200, {
        names: names.filter((name) => name > after).slice(0, MAX_PAGE_SIZE),
      });
    });
}

function addOtherRoutes(router: Router, platform: FakePlatform): void {
  router
    .on('GET', '/hosts', async ({ response }) => {
      if (!(await platform.applyOutageFaults(response))) return;
      sendJson(response, 200, { hosts: platform.listHosts() });
    })
    .on('POST', '/hosts', async (context) => {
      const body = await readBytes(context);
      if (!body) return;
      const parsed = parseBody(body.toString('utf8'), hostSchema);
      if (parsed.isErr) return sendFault(context.response, parsed.error);
      platform.setHost(parsed.value);
      sendJson(context.response, 200, {});
    })
    .on('GET', '/weights/:model', async ({ response }) => {
      await platform.loadWeights();
      sendJson(response, 200, {});
    })
    .on('POST', '/faults', async (context) => {
      const body = await readBytes(context);
      if (!body) return;
      const parsed = parseBody(body.toString('utf8'), platformFaultsSchema);
      if (parsed.isErr) return sendFault(context.response, parsed.error);
      Object.assign(platform.faults, parsed.value);
      sendJson(context.response, 200, {});
    })
    .on('GET', '/truth', ({ response }) => {
      const { reads, writes } = platform;
      sendJson(response, 200, {
        reads: reads.total,
        writes: writes.total,
        refused: reads.refused + writes.refused,
        uptimeSeconds: platform.clock.monotonicMs() / MS_PER_SECOND,
      });
    })
    .on('GET', '/healthz', ({ response }) => {
      sendJson(response, 200, {});
    });
}

/** Starts a fake platform. */
export async function startFakePlatform(
  options: PlatformOptions,
  clock: Clock,
): Promise<{ readonly platform: FakePlatform; readonly server: ListeningServer }> {
  const platform = new FakePlatform(options, clock);
  const router = new Router();
  addTableRoutes(router, platform);
  addOtherRoutes(router, platform);
  const server = await listen(router.handle, options.address, options.port);
  return { platform, server };
}
