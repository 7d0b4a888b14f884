import { adminShape, startAdmin } from '@poppypond/admin';
import { controllerShape, startController } from '@poppypond/controller';
import type { Clock } from '@poppypond/core';
import { gatewayShape, startGateway } from '@poppypond/gateway';
import { keySha256, SAMPLE_OPERATOR_KEY, sampleObjects } from '@poppypond/load';
import { startFakeEngine, startFakePlatform, startFakeService } from '@poppypond/standin';
import { createLog, silentMetrics } from '@poppypond/telemetry';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';

/** A running demo. */
export interface RunningDemo {
  readonly gatewayUrl: string;
  readonly adminUrl: string;
  readonly engineUrls: readonly string[];
  stop(): Promise<void>;
}

const ADDRESS = '127.0.0.1';
const ENGINE_COUNT = 6;
const ZONES = ['regina-a', 'saskatoon-b', 'brandon-c'];
const APPLY_TIMEOUT_MS = 5000;
const READY_POLL_MS = 20;
const MAX_READY_CHECKS = 500;

/** An engine prefills 200,000 tokens per second here, so that a `review` prompt takes seconds. */
const ENGINE_SETTINGS = {
  kvTokens: 400_000,
  stepBaseMs: 4,
  decodeMs: 0.05,
  prefillMs: 0.005,
  chunkTokens: 2048,
  maxRunning: 128,
  importMs: 0.0002,
  reportPeriodMs: 100,
  reportLagMs: 100,
  models: ['general'],
  printRuns: false,
  checksFencing: true,
};

async function startServers(clock: Clock) {
  const listenAt = { address: ADDRESS, port: 0 };
  const { server: platform } = await startFakePlatform(
    { ...listenAt, writesPerSecond: 300, readsPerSecond: 2000, hostListLagMs: 3000, weightMs: 500 },
    clock,
  );
  const options = { ...listenAt, platformUrl: platform.url, onDie: () => undefined };
  const engines = await Promise.all(
    Array.from({ length: ENGINE_COUNT }, () => startFakeEngine(ENGINE_SETTINGS, clock, options)),
  );
  const { server: service } = await startFakeService(clock, ADDRESS, 0);
  return { platform, service, engines: engines.map(({ server }) => server) };
}

async function applySampleObjects(
  adminUrl: string,
  engineUrls: readonly string[],
  serviceUrl: string,
): Promise<void> {
  const engines = engineUrls.map((url, index) => ({
    name: `engine-${String(index + 1)}`,
    url,
    zone: ZONES[index % ZONES.length] ?? '',
  }));
  const services = [{ name: 'register-1', url: `${serviceUrl}/call`, zone: ZONES[0] ?? '' }];
  const reply = await callHttp({
    method: 'POST',
    url: `${adminUrl}/v1/apply`,
    headers: { authorization: `Bearer ${SAMPLE_OPERATOR_KEY}` },
    body: JSON.stringify({ why: 'the demo', objects: sampleObjects(engines, services) }),
    timeoutMs: APPLY_TIMEOUT_MS,
  });
  if (reply.isErr || reply.value.status !== 200)
    throw new Error('the sample objects were not applied');
}

const statusSchema = z.object({
  revision: z.number(),
  engines: z.array(z.object({ reportAgeMs: z.number() })),
});

async function waitReady(clock: Clock, gatewayUrl: string): Promise<void> {
  for (let tries = 0; tries < MAX_READY_CHECKS; tries += 1) {
    const url = `${gatewayUrl}/status`;
    const reply = await callHttp({ method: 'GET', url, timeoutMs: APPLY_TIMEOUT_MS });
    const status = statusSchema.safeParse(reply.isOk ? JSON.parse(reply.value.body) : undefined);
    if (status.success && status.data.revision > 0) {
      const seen = status.data.engines.filter((engine) => engine.reportAgeMs < APPLY_TIMEOUT_MS);
      if (seen.length === ENGINE_COUNT) return;
    }
    await new Promise<void>((resolve) => {
      clock.after(READY_POLL_MS, resolve);
    });
  }
  throw new Error('the gateway did not become ready in time');
}

/** Starts fake platform, engines and service, gateway, admin and controller in this process. */
export async function startDemo(
  clock: Clock,
  port: number,
  adminPort: number,
): Promise<RunningDemo> {
  const { platform, service, engines } = await startServers(clock);
  const log = createLog({ program: 'demo' }, 'warn');
  const commonSettings = { host: 'demo-1', platformUrl: platform.url, listenAddress: ADDRESS };
  const gatewaySettings = z.object(gatewayShape).parse({
    ...commonSettings,
    zone: ZONES[0],
    peerPort: '0',
    listenPort: String(port),
    prefillTokensPerMs: '200',
    decodeStepMs: '15',
    stepMs: '14',
    drainDelayMs: '0',
    configPollMs: '200',
  });
  const gateway = await startGateway(gatewaySettings, clock, log, silentMetrics);
  const admin = await startAdmin(
    z.object(adminShape).parse({
      ...commonSettings,
      listenPort: String(adminPort),
      gateways: gateway.url,
      bootstrapKeySha256: keySha256(SAMPLE_OPERATOR_KEY),
    }),
    clock,
    log,
  );
  const engineUrls = engines.map((engine) => engine.url);
  await applySampleObjects(admin.url, engineUrls, service.url);
  const controllerSettings = z
    .object(controllerShape)
    .parse({ ...commonSettings, listenPort: '0', gateways: gateway.url });
  const controller = await startController(controllerSettings, clock, log, silentMetrics);
  await waitReady(clock, gateway.url);
  return {
    gatewayUrl: gateway.url,
    adminUrl: admin.url,
    engineUrls,
    stop: async () => {
      await gateway.stop();
      await controller.stop();
      await admin.close();
      await Promise.all([...engines, service, platform].map((server) => server.close()));
    },
  };
}
