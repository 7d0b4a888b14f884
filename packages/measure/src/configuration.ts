import { seededRandom } from '@poppypond/load';
import { Fleet, getJson, setFaults } from '@poppypond/launch';
import type { RunningProgram } from '@poppypond/launch';
import { z } from 'zod';
import { print } from './report.js';

/** Options of the configuration measurement. */
export interface ConfigurationOptions {
  readonly gateways: number;
  readonly changes: number;
  readonly seed: number;
}

const OPERATORS = 3;
const POLL_MS = 10;
const MAX_WAIT_MS = 15_000;
const MS_PER_SECOND = 1000;
/**
 * Accepted changes between two fault rounds. In each round one gateway is killed and replaced, and
 * the store is then down for OUTAGE_MS.
 */
const CHANGES_PER_FAULT = 40;
const OUTAGE_MS = 500;

const revisionSchema = z.object({ revision: z.number() });
const tableSchema = z.object({ reads: z.number(), writes: z.number() });

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/**
 * Returns the time in milliseconds from `acceptedAt` until the revision is active on each gateway:
 * 0 for a gateway that has exited, more than MAX_WAIT_MS for one that is still without the revision
 * after that time.
 */
async function measureActivationMs(
  gateways: readonly RunningProgram[],
  revision: number,
  acceptedAt: number,
): Promise<readonly number[]> {
  return Promise.all(
    gateways.map(async (gateway) => {
      while (performance.now() - acceptedAt < MAX_WAIT_MS) {
        const status = revisionSchema.safeParse(await getJson(`${gateway.url}/status`));
        if (status.success && status.data.revision >= revision) break;
        if (gateway.hasExited) return 0;
        await sleep(POLL_MS);
      }
      return performance.now() - acceptedAt;
    }),
  );
}

async function injectFaults(fleet: Fleet, random: () => number): Promise<void> {
  const gateway = fleet.gateways[Math.floor(random() * fleet.gateways.length)];
  if (gateway) {
    await gateway.kill();
    await fleet.replaceGateway(gateway);
  }
  await setFaults(fleet.platform.url, { down: true });
  await sleep(OUTAGE_MS);
  await setFaults(fleet.platform.url, { down: false });
}

/** Measures the time from the acceptance of a change until it is active on every gateway. */
export async function measureConfiguration(options: ConfigurationOptions): Promise<void> {
  const random = seededRandom(options.seed);
  const fleet = await Fleet.start({
    gateways: options.gateways,
    engines: 1,
    services: 0,
    gatewayFlags: { 'config-poll-ms': 1000 },
  });
  try {
    const activationMs: number[] = [];
    let accepted = 0;
    let refused = 0;
    let faultRounds = 0;
    const before = tableSchema.parse(await getJson(`${fleet.platform.url}/truth`));
    const startedAt = performance.now();
    const applyChanges = async () => {
      while (accepted < options.changes) {
        const spec = { weight: 1 + Math.floor(random() * 50) };
        const object = { kind: 'workspace', name: 'audit', labels: { team: 'assistant' }, spec };
        const revision = await fleet.apply([object], 'measured').catch(() => undefined);
        if (revision === undefined) {
          refused += 1;
          await sleep(POLL_MS);
          continue;
        }
        accepted += 1;
        activationMs.push(
          ...(await measureActivationMs([...fleet.gateways], revision, performance.now())),
        );
      }
    };
    const injectFaultsPeriodically = async () => {
      while (accepted < options.changes) {
        if (accepted / CHANGES_PER_FAULT > faultRounds + 1) {
          faultRounds += 1;
          await injectFaults(fleet, random);
        }
        await sleep(POLL_MS);
      }
    };
    await Promise.all([
      ...Array.from({ length: OPERATORS }, applyChanges),
      injectFaultsPeriodically(),
    ]);
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const after = tableSchema.parse(await getJson(`${fleet.platform.url}/truth`));
    activationMs.sort((a, b) => a - b);
    const formatPercentile = (fraction: number) =>
      (activationMs[Math.floor((activationMs.length - 1) * fraction)] ?? 0).toFixed(0);
    print(
      `${String(accepted)} changes accepted and ${String(refused)} refused because of conflicts and outages, ${String(OPERATORS)} operators on one object, ${String(faultRounds)} rounds of a kill and an outage, ${String(options.gateways)} gateways`,
    );
    print(
      `active after: p50 ${formatPercentile(0.5)} ms, p99 ${formatPercentile(0.99)} ms, longest ${formatPercentile(1)} ms (target p99 2000)`,
    );
    print(
      `platform: ${((after.reads - before.reads) / seconds).toFixed(1)} reads and ${((after.writes - before.writes) / seconds).toFixed(1)} writes per second over ${seconds.toFixed(0)} s; ${((after.writes - before.writes) / accepted).toFixed(1)} writes per change`,
    );
  } finally {
    await fleet.stop();
  }
}
