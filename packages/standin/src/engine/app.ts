import type { Clock } from '@poppypond/core';
import { formatChainHash } from '@poppypond/hashing';
import { callHttp, listen, parseBody, readBody, Router, sendFault, sendJson } from '@poppypond/web';
import type { ListeningServer, RouteContext } from '@poppypond/web';
import { z } from 'zod';
import { FakeEngine } from './engine.js';
import { engineFaultsSchema } from './faults.js';
import { parseGenerateCall } from './generate-call.js';
import type { EngineModelSettings } from './model-settings.js';
import { fencedCommandSchema } from './fenced-commands.js';
import type { FencedCommand } from './fenced-commands.js';

const MAX_BODY_BYTES = 64_000_000;
const BODY_TIMEOUT_MS = 30_000;
const WEIGHT_TIMEOUT_MS = 600_000;

const reserveSchema = z.object({
  owner: z.string(),
  requestId: z.string(),
  attempt: z.int(),
  tokens: z.int().positive(),
  ttlMs: z.number().positive(),
  timeRemainingMs: z.number().positive(),
});
const renewSchema = z.object({
  owner: z.string(),
  reservations: z.array(z.string()),
  ttlMs: z.number().positive(),
});
const releaseSchema = z.object({ reservations: z.array(z.string()) });
const cancelSchema = z.object({ requestId: z.string(), attempt: z.int() });

/** Where the fake engine listens and where it loads weights from. */
export interface EngineAppOptions {
  readonly address: string;
  readonly port: number;
  /** URL of the fake platform. Without it models load immediately. */
  readonly platformUrl: string | undefined;
  /** Called by the fault switch `die`. */
  readonly onDie: () => void;
}

async function readChecked<Schema extends z.ZodType>(
  context: RouteContext,
  schema: Schema,
): Promise<z.infer<Schema> | undefined> {
  const body = await readBody(context.request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
  const parsed = body.andThen((bytes) => parseBody(bytes.toString('utf8'), schema));
  if (parsed.isOk) return parsed.value;
  sendFault(context.response, parsed.error);
  return undefined;
}

async function runCommand(engine: FakeEngine, order: FencedCommand, options: EngineAppOptions) {
  const { order: what } = order;
  switch (what.kind) {
    case 'load-model':
      if (options.platformUrl !== undefined) {
        const url = `${options.platformUrl}/weights/${what.model}`;
        const reply = await callHttp({ method: 'GET', url, timeoutMs: WEIGHT_TIMEOUT_MS });
        if (reply.isErr || reply.value.status !== 200) return false;
      }
      engine.models.set(what.model, what.version);
      return true;
    case 'unload-model':
      if (engine.models.get(what.model) === what.version) engine.models.delete(what.model);
      return true;
    case 'set-role':
      engine.role = what.role;
      return true;
    case 'leave':
      engine.faults.leaving = what.leaving;
      return true;
  }
}

function addMemoryRoutes(router: Router, engine: FakeEngine): void {
  router
    .on('GET', '/reservations', ({ response }) => {
      const now = engine.clock.monotonicMs();
      sendJson(response, 200, {
        reservations: engine.memory.reservations.map((reservation) => ({
          id: reservation.id,
          owner: reservation.owner,
          requestId: reservation.requestId,
          attempt: reservation.attempt,
          tokens: reservation.tokens,
          renewals: reservation.renewals,
          ttlMs: reservation.expiresAtMs - now,
          timeRemainingMs: reservation.deadlineMs - now,
          isRunning: engine.running.has(reservation.id),
        })),
      });
    })
    .on('POST', '/reservations', async (context) => {
      const body = await readChecked(context, reserveSchema);
      if (!body) return;
      const claim = { ...body, deadlineMs: body.timeRemainingMs };
      const reservation = engine.faults.leaving
        ? undefined
        : engine.memory.reserve(claim, body.ttlMs);
      if (reservation) sendJson(context.response, 201, { reservation: reservation.id });
      else sendJson(context.response, 409, { refused: 'no_memory' });
    })
    .on('POST', '/reservations/renew', async (context) => {
      const body = await readChecked(context, renewSchema);
      if (!body) return;
      const lost = body.reservations.filter(
        (id) => !engine.memory.renew(id, body.owner, body.ttlMs),
      );
      sendJson(context.response, 200, { lost });
    })
    .on('POST', '/reservations/release', async (context) => {
      const body = await readChecked(context, releaseSchema);
      if (!body) return;
      const tokens = body.reservations.reduce((sum, id) => sum + engine.release(id), 0);
      sendJson(context.response, 200, { tokens });
    })
    .on('GET', '/kv/export/:id', ({ response, params }) => {
      const exported = engine.memory.find(params['id'] ?? '')?.exported;
      if (!exported) return sendJson(response, 404, { refused: 'not_exported' });
      sendJson(response, 200, { tokens: exported.tokens, chain: formatChainHash(exported.chain) });
    });
}

function addControlRoutes(router: Router, engine: FakeEngine, options: EngineAppOptions): void {
  router
    .on('GET', '/load', ({ response, query }) => {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(engine.feeds.getCurrentLoad(query.get('owner') ?? '')));
    })
    .on('GET', '/load/stream', ({ response, query }) => {
      const periodMs = Number(query.get('period') ?? 0);
      engine.feeds.subscribeLoad(response, query.get('owner') ?? '', periodMs);
    })
    .on('GET', '/cache/stream', ({ response }) => {
      engine.feeds.subscribeCache(response);
    })
    .on('POST', '/orders', async (context) => {
      const body = await readChecked(context, fencedCommandSchema);
      if (!body) return;
      if (!engine.commands.accept(body)) {
        return sendJson(context.response, 409, { refused: 'older_fence' });
      }
      const isDone = await runCommand(engine, body, options);
      sendJson(context.response, isDone ? 200 : 502, { followed: isDone });
    })
    .on('GET', '/truth', ({ response }) => {
      response.setHeader('content-type', 'application/json');
      response.end(
        JSON.stringify({
          runs: engine.runs,
          heldTokens: engine.memory.heldTokens,
          followed: engine.commands.followed,
        }),
      );
    })
    .on('POST', '/faults', async (context) => {
      const body = await readChecked(context, engineFaultsSchema);
      if (!body) return;
      Object.assign(engine.faults, body);
      if (body.slowdown !== undefined) engine.batch.slowdown = body.slowdown;
      if (body.pauseMs !== undefined) engine.batch.pause(body.pauseMs);
      sendJson(context.response, 200, {});
      if (body.die) options.onDie();
    })
    .on('GET', '/healthz', ({ response }) => {
      sendJson(response, 200, {});
    });
}

/** Starts a fake engine. */
export async function startFakeEngine(
  settings: EngineModelSettings,
  clock: Clock,
  options: EngineAppOptions,
): Promise<{ readonly engine: FakeEngine; readonly server: ListeningServer }> {
  const engine = new FakeEngine(settings, clock);
  const router = new Router();
  router.on('POST', '/generate', async ({ request, response }) => {
    const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
    if (body.isErr) return sendFault(response, body.error);
    const call = parseGenerateCall(request.headers, body.value.toString('utf8'));
    if (typeof call === 'string') return sendJson(response, 400, { refused: call });
    await engine.generate(call, response);
  });
  router.on('POST', '/cancel', async (context) => {
    const body = await readChecked(context, cancelSchema);
    if (!body) return;
    sendJson(context.response, 200, { cancelled: engine.cancel(body.requestId, body.attempt) });
  });
  addMemoryRoutes(router, engine);
  addControlRoutes(router, engine, options);
  const server = await listen(router.handle, options.address, options.port);
  return { engine, server };
}
