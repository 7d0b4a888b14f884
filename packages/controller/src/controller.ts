import { newOwner } from '@poppypond/core';
import type { CancelTimer, Clock } from '@poppypond/core';
import {
  ConfigurationHolder,
  ConfigurationReader,
  DecisionLog,
  Lease,
  PlatformConnection,
  PlatformObjects,
  PlatformTable,
} from '@poppypond/state';
import type { Log, Metrics } from '@poppypond/telemetry';
import { listen, Router, sendJson } from '@poppypond/web';
import { Cleanup } from './cleanup/cleanup.js';
import type { ControllerContext } from './context.js';
import { PoolController } from './models/pool-controller.js';
import type { ControllerSettings } from './settings.js';
import { MemorySweep } from './sweep/memory-sweep.js';

const DECISION_RING_SIZE = 2000;
const DECISION_FLUSH_MS = 1000;
const FLEET_LEASE = 'fleet';

/** A running controller. */
export interface RunningController {
  readonly url: string;
  stop(): Promise<void>;
}

function createContext(
  settings: ControllerSettings,
  clock: Clock,
  log: Log,
  metrics: Metrics,
): ControllerContext {
  const connection = new PlatformConnection(settings.platformUrl, settings.storeTimeoutMs);
  const table = new PlatformTable(connection);
  const objects = new PlatformObjects(connection);
  const reader = new ConfigurationReader(new ConfigurationHolder(), table, clock);
  const name = `${settings.host}-controller`;
  const decisions = new DecisionLog(name, objects, clock, DECISION_RING_SIZE);
  return {
    settings,
    clock,
    log,
    metrics,
    owner: newOwner(name),
    table,
    objects,
    reader,
    decisions,
  };
}

/** One `PoolController` with its own lease for each pool of the configuration. */
class PoolControllers {
  readonly #pools = new Map<string, PoolController>();

  constructor(readonly context: ControllerContext) {}

  get all(): readonly PoolController[] {
    return [...this.#pools.values()];
  }

  async reconcile(): Promise<void> {
    await this.context.reader.poll();
    const names = new Set(
      this.context.reader.holder.current.list('pool').map((pool) => pool.object.name),
    );
    for (const [name, pool] of this.#pools) {
      if (names.has(name)) continue;
      this.#pools.delete(name);
      await pool.stop();
    }
    for (const name of names) {
      if (!this.#pools.has(name)) this.#pools.set(name, new PoolController(name, this.context));
    }
    await Promise.all(this.all.map((pool) => pool.reconcile()));
  }
}

/**
 * Starts the timers of the work that only the holder of the fleet lease does: memory sweep and
 * cleanup. The timers that renew the lease and flush decision records run on every controller.
 */
function startFleetWork(context: ControllerContext, lease: Lease): readonly CancelTimer[] {
  const { clock, settings } = context;
  const sweep = new MemorySweep(context);
  const cleanup = new Cleanup(context);
  let isSweeping = false;
  const sweepOnce = async (): Promise<void> => {
    if (isSweeping || !lease.held()) return;
    isSweeping = true;
    const engines = context.reader.holder.current
      .list('backend-server')
      .filter((server) => server.object.spec.kind === 'engine');
    await sweep.run(engines);
    isSweeping = false;
  };
  return [
    clock.every(lease.tickPeriodMs, () => void lease.tick()),
    clock.every(settings.sweepPeriodMs, () => void sweepOnce()),
    clock.every(settings.cleanupPeriodMs, () => {
      if (lease.held()) void cleanup.run();
    }),
    clock.every(DECISION_FLUSH_MS, () => void context.decisions.flush()),
  ];
}

/** Starts a controller, which competes for the fleet lease and for the lease of each pool. */
export async function startController(
  settings: ControllerSettings,
  clock: Clock,
  log: Log,
  metrics: Metrics,
): Promise<RunningController> {
  const context = createContext(settings, clock, log, metrics);
  const pools = new PoolControllers(context);
  const lease = new Lease(FLEET_LEASE, context.owner, context.table, clock, settings.leaseMs);
  const router = new Router();
  router
    .on('GET', '/healthz', ({ response }) => {
      sendJson(response, 200, {});
    })
    .on('GET', '/status', ({ response }) => {
      const held = pools.all.map((pool) => ({
        pool: pool.name,
        fence: pool.lease.held()?.fence ?? null,
      }));
      sendJson(response, 200, { host: settings.host, pools: held, isFleet: !!lease.held() });
    });
  const server = await listen(router.handle, settings.listenAddress, settings.listenPort);
  await lease.tick();
  const timers = [
    ...startFleetWork(context, lease),
    clock.every(settings.planPeriodMs, () => void pools.reconcile()),
  ];
  await pools.reconcile();
  log.info('serving', { url: server.url });
  return {
    url: server.url,
    stop: async () => {
      for (const cancel of timers) cancel();
      await Promise.all([lease.release(), ...pools.all.map((pool) => pool.stop())]);
      await context.decisions.flush();
      await server.close();
    },
  };
}
