import { readEngineLoad, sendEngineCommand } from '@poppypond/backend';
import { delay } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import { matchesSelector } from '@poppypond/objects';
import type { Configuration, ObjectOf, Versioned } from '@poppypond/objects';
import { Lease } from '@poppypond/state';
import type { HeldLease } from '@poppypond/state';
import type { ControllerContext } from '../context.js';
import { chooseHolders, planLoad, planRole, planUnload, DelayedDecrease } from './plan-commands.js';
import type { PlannedEngine, PlannedCommand, DesiredModel } from './plan-commands.js';
import { readRollout, versionToLoad, writeRollout } from './rollout.js';

/** Consecutive failed loads after which a version is marked as failed. */
const MAX_LOAD_FAILURES = 2;
/** Share of its time that an engine is planned to spend on prefill. */
const TARGET_BUSY_SHARE = 0.6;

interface PoolView {
  readonly pool: Versioned<'pool'>;
  readonly engines: readonly PlannedEngine[];
  readonly urls: ReadonlyMap<string, string>;
  readonly allCheckFencing: boolean;
  /** Share of the engines that reported pending prefill tokens. */
  readonly busyShare: number;
}

/**
 * Reconciles models and roles of the engines of one pool while this host holds the pool's lease.
 */
export class PoolController {
  readonly lease: Lease;
  readonly #neededByModel = new Map<string, DelayedDecrease>();
  readonly #failures = new Map<string, number>();
  #graceUntilMs: Milliseconds = 0;
  #lastFence = 0;
  #isReconciling = false;
  #isStopped = false;

  constructor(
    readonly name: string,
    readonly context: ControllerContext,
  ) {
    const { owner, table, clock, settings } = context;
    this.lease = new Lease(`pool/${name}`, owner, table, clock, settings.leaseMs);
    void this.#keepLease();
  }

  async #keepLease(): Promise<void> {
    while (!this.#isStopped) {
      await this.lease.tick();
      await delay(this.context.clock, this.lease.tickPeriodMs);
    }
  }

  async stop(): Promise<void> {
    this.#isStopped = true;
    await this.lease.release();
  }

  /** Runs one reconciliation, which sends at most one command for each model and one for roles. */
  async reconcile(): Promise<void> {
    if (this.#isReconciling) return;
    this.#isReconciling = true;
    await this.#reconcileOnce().finally(() => {
      this.#isReconciling = false;
    });
  }

  async #reconcileOnce(): Promise<void> {
    const configuration = this.context.reader.holder.current;
    const held = this.lease.held();
    const pool = configuration.get('pool', this.name);
    if (!held || !pool) return;
    const view = await this.#readPool(configuration, pool);
    if (this.#isInGracePeriod(held, view)) return;
    const role = planRole(pool.object.spec.roles, this.#engineOrder(view, this.name), view.engines);
    if (role) await this.#send(view, role);
    const models = configuration
      .list('model')
      .filter((model) => matchesSelector(model.object.spec.pools, pool.object.labels));
    const isContended = models.length > pool.object.spec.modelsPerEngine;
    for (const model of models) await this.#reconcileModel(view, model, isContended);
  }

  async #readPool(configuration: Configuration, pool: Versioned<'pool'>): Promise<PoolView> {
    const servers = configuration
      .poolMembers(this.name)
      .filter((server) => server.object.spec.kind === 'engine');
    const reports = await Promise.all(
      servers.map(async ({ object }) => ({
        object,
        report: await readEngineLoad(object.spec.url),
      })),
    );
    const seen = reports.flatMap(({ object, report }) => (report ? [{ object, report }] : []));
    const busy = seen.filter(({ report }) => report.prefillByPriority.some((tokens) => tokens > 0));
    return {
      pool,
      engines: seen.map(({ object, report }) => ({ ...report, name: object.name })),
      urls: new Map(servers.map(({ object }) => [object.name, object.spec.url])),
      allCheckFencing: servers.every(({ object }) => object.spec.checksFencing),
      busyShare: seen.length === 0 ? 0 : busy.length / seen.length,
    };
  }

  /**
   * Whether a new lease holder must not send commands yet: if an engine of the pool does not check
   * fencing tokens, it waits until all commands of the previous holder have expired.
   */
  #isInGracePeriod(held: HeldLease, view: PoolView): boolean {
    const now = this.context.clock.monotonicMs();
    if (held.fence !== this.#lastFence) {
      this.#lastFence = held.fence;
      const isFirstHolder = held.fence === 1;
      const mustWait = !view.allCheckFencing && !isFirstHolder;
      this.#graceUntilMs = mustWait ? now + this.context.settings.orderMs : now;
      this.context.log.info('lease_held', { pool: this.name, fence: held.fence });
    }
    return now < this.#graceUntilMs;
  }

  #engineOrder(view: PoolView, key: string): readonly string[] {
    const names = [...view.urls.keys()];
    return rendezvousOrder(key, names, (name) => name);
  }

  async #reconcileModel(
    view: PoolView,
    model: Versioned<'model'>,
    isContended: boolean,
  ): Promise<void> {
    const { table } = this.context;
    const { name, spec } = model.object;
    const stored = await readRollout(table, this.name, name);
    if (stored.isErr) return;
    const { rollout, rowVersion } = stored.value;
    const version = versionToLoad(spec.version, rollout);
    const wanted = this.#desiredModel(view, model.object, version, isContended);
    const planned = planLoad(wanted, view.engines) ?? planUnload(wanted, view.engines);
    if (planned) return this.#sendLoad(view, model, planned, rollout?.good ?? version, rowVersion);
    const isSettled = chooseHolders(wanted, view.engines).length > 0;
    if (isSettled && version === spec.version && rollout?.good !== version) {
      await writeRollout(table, this.name, name, { good: version, failed: null }, rowVersion);
    }
  }

  /**
   * Returns how many engines the current demand needs: all if the models of the pool do not compete
   * for engines.
   */
  #neededEngines(view: PoolView, model: string, isContended: boolean): number {
    if (!isContended) return view.urls.size;
    const holderCount = view.engines.filter((engine) => model in engine.models).length;
    const needed = Math.max(1, Math.ceil((holderCount * view.busyShare) / TARGET_BUSY_SHARE));
    const { clock, settings } = this.context;
    const delayed =
      this.#neededByModel.get(model) ?? new DelayedDecrease(settings.shrinkAfterMs, holderCount);
    this.#neededByModel.set(model, delayed);
    return delayed.next(needed, clock.monotonicMs());
  }

  #desiredModel(
    view: PoolView,
    model: ObjectOf<'model'>,
    version: string,
    isContended: boolean,
  ): DesiredModel {
    const { name, spec } = model;
    return {
      name,
      version,
      adapters: spec.adapters,
      minEngines: spec.minEngines,
      maxEngines: spec.maxEngines ?? view.urls.size,
      neededEngines: this.#neededEngines(view, name, isContended),
      order: this.#engineOrder(view, `${this.name}/${name}`),
    };
  }

  async #sendLoad(
    view: PoolView,
    model: Versioned<'model'>,
    planned: PlannedCommand,
    good: string,
    rowVersion: number,
  ): Promise<void> {
    const result = await this.#send(view, planned);
    if (planned.order.kind !== 'load-model') return;
    const { version } = planned.order;
    const key = `${model.object.name}/${version}`;
    if (result === 'followed') this.#failures.delete(key);
    if (result !== 'failed') return;
    const failures = (this.#failures.get(key) ?? 0) + 1;
    this.#failures.set(key, failures);
    if (failures < MAX_LOAD_FAILURES || version === good) return;
    const { table, log } = this.context;
    const { name } = model.object;
    log.warn('rollout_failed', { pool: this.name, model: name, version, backTo: good });
    await writeRollout(table, this.name, name, { good, failed: version }, rowVersion);
  }

  /**
   * Sends a command if this host still holds the lease. The command expires no later than the
   * lease.
   */
  async #send(view: PoolView, planned: PlannedCommand) {
    const held = this.lease.held();
    const url = view.urls.get(planned.engine);
    if (!held || url === undefined) return 'not_sent';
    const leftMs = held.validUntilMs - this.context.clock.monotonicMs();
    const expiresInMs = Math.min(this.context.settings.orderMs, leftMs);
    const scope = `pool/${this.name}`;
    const { order } = planned;
    const result = await sendEngineCommand(url, { scope, fence: held.fence, expiresInMs, order });
    this.#record(view, planned, held, result);
    return result;
  }

  #record(view: PoolView, planned: PlannedCommand, held: HeldLease, result: string): void {
    const { context } = this;
    const { order, engine, why } = planned;
    const what = order.kind === 'set-role' ? order.role : `${order.model}@${order.version}`;
    context.log.info('order_sent', { pool: this.name, engine, order: order.kind, what, result });
    context.decisions.record({
      kind: order.kind === 'set-role' ? 'role' : 'load',
      host: context.decisions.host,
      wallMs: context.clock.wallMs(),
      labels: { ...view.pool.object.labels, pool: this.name, server: engine },
      rule: `pool/${this.name}@${String(view.pool.revision)}`,
      revision: context.reader.holder.current.revision,
      choice: `${order.kind} ${what} on ${engine}: ${result}`,
      state: { why, fence: held.fence, busyShare: view.busyShare, engines: view.engines.length },
      passedOver: [],
    });
  }
}
