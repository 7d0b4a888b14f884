import type { EngineCommand } from '@poppypond/backend';
import type { Milliseconds } from '@poppypond/core';

/** An engine as the plan sees it. */
export interface PlannedEngine {
  readonly name: string;
  readonly role: 'any' | 'long' | 'short';
  /** Model to version. */
  readonly models: Readonly<Record<string, string>>;
  readonly isLeaving: boolean;
}

/** What operators want of a model in this pool. */
export interface DesiredModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly minEngines: number;
  readonly maxEngines: number;
  /** Engines that the present demand needs. */
  readonly neededEngines: number;
  /** Engines in the order in which the model takes them. */
  readonly order: readonly string[];
}

/** An order for one engine, and why. */
export interface PlannedCommand {
  readonly engine: string;
  readonly order: EngineCommand;
  readonly why: string;
}

/** The engines that should hold a model, as many as demand needs within the limits. */
export function chooseHolders(
  model: DesiredModel,
  engines: readonly PlannedEngine[],
): readonly string[] {
  const usable = new Set(engines.filter((engine) => !engine.isLeaving).map(({ name }) => name));
  const count = Math.min(model.maxEngines, Math.max(model.minEngines, model.neededEngines));
  return model.order.filter((name) => usable.has(name)).slice(0, count);
}

/**
 * The next load for a model: engines without it first, then one engine with another version.
 * One at a time, so that a rollout never takes the model away from two engines at once.
 */
export function planLoad(
  model: DesiredModel,
  engines: readonly PlannedEngine[],
): PlannedCommand | undefined {
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const holders = chooseHolders(model, engines);
  const versionOf = (name: string) => byName.get(name)?.models[model.name];
  const missing = holders.find((name) => versionOf(name) === undefined);
  const outdated = holders.find((name) => versionOf(name) !== model.version);
  const engine = missing ?? outdated;
  if (engine === undefined) return undefined;
  const { name, version, adapters } = model;
  const why = missing === undefined ? `replaces version ${versionOf(engine) ?? ''}` : 'is wanted';
  return { engine, order: { kind: 'load-model', model: name, version, adapters }, why };
}

/** Unloads a model from an engine that needn't hold it, while enough others do. */
export function planUnload(
  model: DesiredModel,
  engines: readonly PlannedEngine[],
): PlannedCommand | undefined {
  const holders = new Set(chooseHolders(model, engines));
  const serving = engines.filter((engine) => model.name in engine.models);
  if (serving.length <= holders.size) return undefined;
  const surplus = serving.find((engine) => !holders.has(engine.name));
  if (!surplus) return undefined;
  const version = surplus.models[model.name] ?? model.version;
  const order: EngineCommand = { kind: 'unload-model', model: model.name, version };
  return { engine: surplus.name, order, why: 'demand is low' };
}

/** The first engine whose role differs from what operators want. */
export function planRole(
  roles: { readonly short: number; readonly long: number },
  order: readonly string[],
  engines: readonly PlannedEngine[],
): PlannedCommand | undefined {
  const byName = new Map(engines.map((engine) => [engine.name, engine]));
  const present = order.filter((name) => byName.has(name));
  for (const [index, name] of present.entries()) {
    const isShort = index < roles.short;
    const isLong = index >= present.length - roles.long;
    const role = isShort ? 'short' : isLong ? 'long' : 'any';
    if (byName.get(name)?.role === role) continue;
    return { engine: name, order: { kind: 'set-role', role }, why: `pool wants ${role}` };
  }
  return undefined;
}

/** Lets a number rise at once but fall only after it was lower for a time. */
export class DelayedDecrease {
  #current: number;
  #lowSinceMs: Milliseconds | undefined;

  constructor(
    readonly decreaseAfterMs: Milliseconds,
    start: number,
  ) {
    this.#current = start;
  }

  next(value: number, nowMs: Milliseconds): number {
    if (value >= this.#current) {
      this.#current = value;
      this.#lowSinceMs = undefined;
      return this.#current;
    }
    this.#lowSinceMs ??= nowMs;
    if (nowMs - this.#lowSinceMs >= this.decreaseAfterMs) {
      this.#current = value;
      this.#lowSinceMs = undefined;
    }
    return this.#current;
  }
}
