import { engineServer } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PermitBuckets } from './permit-buckets.js';
import type { LimitPart } from './permit-buckets.js';
import { ServerLimits } from './server-limits.js';

const SERVER = engineServer('i-1');
const FULL: LimitPart = { role: 'first', share: 1 };
const STAND_IN: LimitPart = { role: 'stand_in', share: 0.5 };

function bucketsWithLimit(perSecond: number) {
  const limits = new ServerLimits();
  limits.applyNotice(SERVER, { kind: 'named', perSecond }, 0, 0);
  const buckets = new PermitBuckets(limits);
  const tryGrant = (nowMs: number, part = FULL) => {
    if (buckets.availablePermits(SERVER, part, nowMs) < 1) return false;
    buckets.grant(SERVER, part, nowMs);
    return true;
  };
  return { buckets, limits, tryGrant };
}

describe('PermitBuckets', () => {
  it('starts empty and grants a permit when the bucket has been refilled', () => {
    const { buckets, tryGrant } = bucketsWithLimit(2);
    expect(tryGrant(0)).toBe(false);
    expect(buckets.nextPermitInMs(SERVER, FULL, 0)).toBe(500);
    expect(tryGrant(500)).toBe(true);
    expect(tryGrant(501)).toBe(false);
  });

  it('grants unlimited permits for servers without a limit', () => {
    const { buckets } = bucketsWithLimit(2);
    expect(buckets.availablePermits(engineServer('i-2'), FULL, 0)).toBe(Number.POSITIVE_INFINITY);
  });

  it('counts permits that were used without being requested', () => {
    const { buckets, tryGrant } = bucketsWithLimit(2);
    expect(tryGrant(0)).toBe(false);
    buckets.grant(SERVER, FULL, 0);
    expect(tryGrant(600)).toBe(false);
    expect(tryGrant(1000)).toBe(true);
  });

  it('saves up no permits as a standby that is needed only now and then', () => {
    const { tryGrant } = bucketsWithLimit(2);
    expect(tryGrant(0, STAND_IN)).toBe(false);
    expect(tryGrant(10_000, STAND_IN)).toBe(false);
    expect(tryGrant(11_000, STAND_IN)).toBe(true);
  });

  it('starts empty for each incarnation', () => {
    const { buckets, limits, tryGrant } = bucketsWithLimit(2);
    expect(tryGrant(0)).toBe(false);
    const next = { ...SERVER, startedAtMs: 7 };
    limits.applyNotice(next, { kind: 'named', perSecond: 2 }, 100, 400);
    expect(buckets.availablePermits(next, FULL, 500)).toBe(0);
  });

  it('never grants more in 4 s than the limit allows plus a full bucket', () => {
    const pauses = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 300 });
    const perSecond = fc.double({ min: 0.05, max: 30, noNaN: true });
    fc.assert(
      fc.property(pauses, perSecond, (after, limit) => {
        const { tryGrant } = bucketsWithLimit(limit);
        let nowMs = 0;
        const grantTimes = after.flatMap((pauseMs) => {
          nowMs += pauseMs;
          return tryGrant(nowMs) ? [nowMs] : [];
        });
        const most = limit * 4 + 1 + limit / 4 + 1e-6;
        for (const fromMs of grantTimes) {
          const inWindow = grantTimes.filter((atMs) => atMs >= fromMs && atMs < fromMs + 4000);
          expect(inWindow.length).toBeLessThanOrEqual(most);
        }
      }),
    );
  });
});
