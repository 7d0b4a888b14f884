import { describe, expect, it } from 'vitest';
import { planLoad, planRole, planUnload, DelayedDecrease } from './plan-commands.js';
import type { PlannedEngine, DesiredModel } from './plan-commands.js';
import { versionToLoad } from './rollout.js';

function engine(name: string, models: Record<string, string> = {}): PlannedEngine {
  return { name, models, role: 'any', isLeaving: false };
}

function wanted(more: Partial<DesiredModel> = {}): DesiredModel {
  return {
    name: 'm',
    version: '2',
    adapters: [],
    minEngines: 1,
    maxEngines: 3,
    neededEngines: 3,
    order: ['e1', 'e2', 'e3'],
    ...more,
  };
}

describe('planning of engine commands', () => {
  it('loads engines without the model first, then replaces one old version at a time', () => {
    const missing = [engine('e1', { m: '1' }), engine('e2'), engine('e3', { m: '1' })];
    expect(planLoad(wanted(), missing)?.engine).toBe('e2');
    const old = [engine('e1', { m: '2' }), engine('e2', { m: '1' }), engine('e3', { m: '1' })];
    expect(planLoad(wanted(), old)?.engine).toBe('e2');
    const all = ['e1', 'e2', 'e3'].map((name) => engine(name, { m: '2' }));
    expect(planLoad(wanted(), all)).toBeUndefined();
  });

  it('rolls back to the last good version if the wanted version failed', () => {
    expect(versionToLoad('2', { good: '1', failed: '2' })).toBe('1');
    expect(versionToLoad('3', { good: '1', failed: '2' })).toBe('3');
  });

  it('unloads a model only from surplus engines and keeps the minimum', () => {
    const all = ['e1', 'e2', 'e3'].map((name) => engine(name, { m: '2' }));
    expect(planUnload(wanted({ neededEngines: 2 }), all)?.engine).toBe('e3');
    expect(planUnload(wanted({ neededEngines: 0 }), all.slice(0, 1))).toBeUndefined();
  });

  it('assigns short roles at the start and long roles at the end of the order', () => {
    const engines = ['e1', 'e2', 'e3'].map((name) => engine(name));
    const order = planRole({ short: 1, long: 1 }, ['e1', 'e2', 'e3'], engines);
    expect(order).toMatchObject({ engine: 'e1', order: { kind: 'set-role', role: 'short' } });
    expect(planRole({ short: 0, long: 0 }, ['e1', 'e2', 'e3'], engines)).toBeUndefined();
  });

  it('decreases the value only after it was lower for the set time', () => {
    const limiter = new DelayedDecrease(1000, 2);
    expect([
      limiter.next(4, 0),
      limiter.next(1, 100),
      limiter.next(1, 900),
      limiter.next(1, 1100),
    ]).toEqual([4, 4, 4, 1]);
  });
});
