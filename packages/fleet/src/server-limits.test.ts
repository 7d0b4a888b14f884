import { engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import type { BackendServer } from './backend-server.js';
import { ServerLimits } from './server-limits.js';

const SERVER: BackendServer = { ...engineServer('i-1'), startedAtMs: 1 };
const NAMED = { kind: 'named', perSecond: 2 } as const;
const NONE = { kind: 'none' } as const;

function named(perSecond: number) {
  return { kind: 'named', perSecond } as const;
}

describe('ServerLimits', () => {
  it('apply for as long as responses report them, and report each change once', () => {
    const limits = new ServerLimits();
    expect(limits.applyNotice(SERVER, NONE, 0, 10)).toBeUndefined();
    expect(limits.applyNotice(SERVER, NAMED, 0, 20)).toBe('named');
    expect(limits.applyNotice(SERVER, NAMED, 0, 30)).toBeUndefined();
    expect(limits.applyNotice(SERVER, named(1.5), 0, 40)).toBe('changed');
    expect(limits.rateOf(SERVER, 100_000)).toBe(1.5);
    expect(limits.applyNotice(SERVER, NONE, 50, 60)).toBe('over');
    expect(limits.applyNotice(SERVER, NONE, 50, 70)).toBeUndefined();
    expect(limits.applyNotice(SERVER, NAMED, 60, 80)).toBe('named');
  });

  it('are not lifted by the response to a request that was sent before they were reported', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, NAMED, 0, 100);
    expect(limits.applyNotice(SERVER, NONE, 90, 200)).toBeUndefined();
    expect(limits.isLimited(SERVER, 200)).toBe(true);
  });

  it('stay unchanged if a notice is unreadable', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, NAMED, 0, 100);
    expect(
      limits.applyNotice(SERVER, { kind: 'unreadable', text: 'few' }, 150, 200),
    ).toBeUndefined();
    expect(limits.rateOf(SERVER, 200)).toBe(2);
  });

  it('apply to one incarnation only', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, NAMED, 0, 100);
    expect(limits.isLimited({ ...SERVER, startedAtMs: 2 }, 100)).toBe(false);
  });

  it('allow an occasional request at a limit of 0, to learn when it is lifted', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, named(0), 0, 0);
    const rate = limits.rateOf(SERVER, 0) ?? 0;
    expect(rate).toBeGreaterThan(0);
    expect(rate).toBeLessThan(0.2);
  });

  it('are followed by a ramp-up that ends within 5 s', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, NAMED, 0, 0);
    limits.applyNotice(SERVER, NONE, 10, 1000);
    expect(limits.rateOf(SERVER, 1000)).toBe(2);
    expect(limits.rateOf(SERVER, 1600)).toBe(8);
    expect(limits.rateOf(SERVER, 6000)).toBeUndefined();
  });

  it('are merged from peers, and the newest notice applies whichever host received it', () => {
    const limits = new ServerLimits();
    const told = { server: SERVER, perSecond: 3, isLifted: false, reportedAtMs: 100 };
    expect(limits.mergePeerLimit(told, 110)).toBe('named');
    expect(limits.mergePeerLimit({ ...told, perSecond: 9, reportedAtMs: 50 }, 120)).toBeUndefined();
    expect(
      limits.mergePeerLimit({ ...told, isLifted: true, reportedAtMs: 90 }, 120),
    ).toBeUndefined();
    expect(limits.mergePeerLimit({ ...told, isLifted: true, reportedAtMs: 200 }, 220)).toBe('over');
    expect(limits.mergePeerLimit(told, 230)).toBeUndefined();
  });

  it('are dropped some time after they are lifted', () => {
    const limits = new ServerLimits();
    limits.applyNotice(SERVER, NAMED, 0, 0);
    limits.applyNotice(SERVER, NONE, 10, 1000);
    expect(limits.all(2000)).toHaveLength(1);
    expect(limits.all(60_000)).toHaveLength(0);
  });
});
