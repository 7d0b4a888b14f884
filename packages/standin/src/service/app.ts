import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay } from '@poppypond/core';
import type { Clock } from '@poppypond/core';
import { listen, parseBody, readBody, Router, sendFault, sendJson } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import { z } from 'zod';

const MAX_BODY_BYTES = 1_000_000;
const BODY_TIMEOUT_MS = 10_000;

const serviceFaultsSchema = z.strictObject({
  /** Runs this many of the next calls but closes the connection instead of responding. */
  loseAnswers: z.int().nonnegative().optional(),
  /** Refuses this many of the next calls with status 503 without running them. */
  refuseCalls: z.int().nonnegative().optional(),
  /** Retry-After of each call that it refuses, which asks for a backoff; 0 for none. */
  restSeconds: z.number().nonnegative().optional(),
  slowMs: z.number().nonnegative().optional(),
  leaving: z.boolean().optional(),
});

/** A call that ran, recorded for the ground truth. */
export interface ServiceRun {
  readonly atMs: number;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

/** A fake service that records each call that it runs. */
export class FakeService {
  readonly runs: ServiceRun[] = [];
  readonly faults = { loseAnswers: 0, refuseCalls: 0, restSeconds: 0, slowMs: 0, leaving: false };

  constructor(readonly clock: Clock) {}

  /** Runs a call and responds with a receipt: the number of calls run so far. */
  async run(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
    if (body.isErr) return sendFault(response, body.error);
    if (this.faults.leaving) return this.#refuse(response, 'leaving');
    if (this.faults.refuseCalls > 0) {
      this.faults.refuseCalls -= 1;
      return this.#refuse(response, 'refused');
    }
    const requestId = String(request.headers['x-request'] ?? '');
    this.runs.push({
      atMs: this.clock.wallMs(),
      requestId,
      method: request.method ?? '',
      path: request.url ?? '',
      body: body.value.toString('utf8'),
    });
    const receipt = this.runs.length;
    if (this.faults.slowMs > 0) await delay(this.clock, this.faults.slowMs);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, { receipt, requestId });
  }

  #refuse(response: ServerResponse, refused: string): void {
    const { restSeconds } = this.faults;
    const backoffHeaders = restSeconds > 0 ? { 'retry-after': String(restSeconds) } : {};
    sendJson(response, 503, { refused }, { 'x-not-run': '1', ...backoffHeaders });
  }
}

/** Starts a fake service. */
export async function startFakeService(
  clock: Clock,
  address: string,
  port: number,
): Promise<{ readonly service: FakeService; readonly server: ListeningServer }> {
  const service = new FakeService(clock);
  const router = new Router();
  router
    .on('GET', '/truth', ({ response }) => {
      sendJson(response, 200, { runs: service.runs.map((run) => ({ ...run })) });
    })
    .on('POST', '/faults', async ({ request, response }) => {
      const body = await readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS);
      const parsed = body.andThen((bytes) =>
        parseBody(bytes.toString('utf8'), serviceFaultsSchema),
      );
      if (parsed.isErr) return sendFault(response, parsed.error);
      Object.assign(service.faults, parsed.value);
      sendJson(response, 200, {});
    })
    .on('GET', '/healthz', ({ response }) => {
      const status = service.faults.leaving ? 503 : 200;
      sendJson(response, status, { leaving: service.faults.leaving });
    })
    .on('ANY', '/call/*', ({ request, response }) => service.run(request, response));
  const server = await listen(router.handle, address, port);
  return { service, server };
}
