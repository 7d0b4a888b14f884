import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Suspicions, withoutAvoided } from './suspicions.js';

describe('Suspicions', () => {
  it('avoids a server for longer with each relapse, and starts over after a while', () => {
    const suspicions = new Suspicions();
    expect(suspicions.add('a', 0)).toBe(1500);
    expect(suspicions.add('a', 500)).toBe(1000);
    expect(suspicions.leftMs('a', 1500)).toBe(0);
    expect(suspicions.add('a', 2000)).toBe(3000);
    expect(suspicions.add('a', 5500)).toBe(6000);
    expect(suspicions.add('a', 12_000)).toBe(12_000);
    expect(suspicions.add('a', 25_000)).toBe(12_000);
    suspicions.expire(60_000);
    expect(suspicions.add('a', 60_000)).toBe(1500);
  });

  it('is not shortened by the report of a host that knows of fewer failures', () => {
    const suspicions = new Suspicions();
    suspicions.add('a', 0);
    suspicions.add('a', 2000);
    expect(suspicions.leftMs('a', 2100)).toBe(2900);
    suspicions.avoid('a', 1500, 2100);
    expect(suspicions.leftMs('a', 2100)).toBe(2900);
    expect(suspicions.add('a', 5500)).toBe(6000);
  });

  it('stops avoiding a server that has served a request, but counts its next failure as a relapse', () => {
    const suspicions = new Suspicions();
    suspicions.add('a', 0);
    suspicions.clear('a', 100);
    expect(suspicions.leftMs('a', 100)).toBe(0);
    expect(suspicions.add('a', 200)).toBe(3000);
  });
});

describe('withoutAvoided', () => {
  it('leaves out one of a few items and at most two in five of many, those avoided longest first', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(3), { minLength: 1, maxLength: 20 }), (times) => {
        const items = times.map((avoidedMs, index) => ({ avoidedMs, index }));
        const kept = withoutAvoided(items);
        const out = items.filter((item) => !kept.includes(item));
        const most = items.length === 1 ? 0 : Math.max(1, items.length * 0.4);
        expect(out.length).toBeLessThanOrEqual(most);
        const isOneAvoided = items.length > 1 && times.some((time) => time > 0);
        if (isOneAvoided) expect(out.length).toBeGreaterThan(0);
        const shortestOut = Math.min(...out.map(({ avoidedMs }) => avoidedMs));
        for (const { avoidedMs } of kept) expect(avoidedMs).toBeLessThanOrEqual(shortestOut);
      }),
      { numRuns: 300, seed: 3 },
    );
  });
});
