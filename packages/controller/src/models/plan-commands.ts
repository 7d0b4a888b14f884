import type { EngineCommand } from '@poppypond/backend';
import type { Milliseconds } from '@poppypond/core';

/** State of an engine that planning depends on. */
export interface PlannedEngine {
  readonly name: string;
  readonly role: 'any' | 'long' | 'short';
  /** Maps model names to versions. */
  readonly models: Readonly<Record<string, string>>;
  readonly isLeaving: boolean;
}

/** Desired state of a model in a pool. */
export interface DesiredModel {
  readonly name: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly minEngines: number;
  readonly maxEngines: number;
  /** Number of engines that the current demand needs. */
  readonly neededEngines: number;
  /** Engine names in the order in which the model is placed on them. */
  readonly order: readonly string[];
}

/** A command for one engine and the reason for it. */
export interface PlannedCommand {
  readonly engine: string;
  readonly order: EngineCommand;
  readonly why: string;
}

/**
 * Returns the engines that should hold a model: as many as the demand needs, between `minEngines`
 * and `maxEngines`.
 */
export function chooseHolders(
  model: DesiredModel,
  engines: readonly PlannedEngine[],
): readonly string[] {
  const usable = new Set(engines.filter((engine) => !engine.isLeaving).map(({ name }) => name));
  const count = Math.min(model.maxEngines, Math.max(model.minEngines, model.neededEngines));
  return model.order.filter((name) => usable.has(name)).slice(0, count);
}

/**
 * Returns the next load command for a model: for an engine without the model first, then for one
 * with another version. Only one command is planned at a time, so that a rollout never makes the
 * model unavailable on two engines at once.
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

/**
 * Returns an unload command for an engine that need not hold the model, if more engines hold it
 * than needed.
 */
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

/**
 * Returns a command for the first engine whose role differs from the desired one. Short roles go to
 * the start of `order`, long roles to its end.
 */
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
    return {
      engine: name,
      order: { kind: 'set-role', role },
      why: `pool wants ${role}`,
    };
  }
  return undefined;
}

/** A number that rises at once but falls only after its input was lower for `decreaseAfterMs`. */
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
