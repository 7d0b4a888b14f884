import { engineServer } from '@poppypond/mocks';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PermitBuckets } from './limit-ledger.js';
import type { LimitPart } from './limit-ledger.js';
import { ServerLimits } from './server-limits.js';

const SERVER = engineServer('i-1');
const WHOLE: LimitPart = { role: 'first', share: 1 };
const STAND_IN: LimitPart = { role: 'stand_in', share: 0.5 };

function bucketsWithLimit(perSecond: number) {
  const limits = new ServerLimits();
  limits.applyNotice(SERVER, { kind: 'named', perSecond }, 0, 0);
  const ledger = new PermitBuckets(limits);
  const tryGive = (nowMs: number, part = WHOLE) => {
    if (ledger.availablePermits(SERVER, part, nowMs) < 1) return false;
    ledger.grant(SERVER, part, nowMs);
    return true;
  };
  return { ledger, limits, tryGive };
}

describe('LimitLedger', () => {
  it('begins with nothing, and gives the next place when it has come in', () => {
    const { ledger, tryGive } = bucketsWithLimit(2);
    expect(tryGive(0)).toBe(false);
    expect(ledger.nextPermitInMs(SERVER, WHOLE, 0)).toBe(500);
    expect(tryGive(500)).toBe(true);
    expect(tryGive(501)).toBe(false);
  });

  it('gives freely for servers that name no limit', () => {
    const { ledger } = bucketsWithLimit(2);
    expect(ledger.availablePermits(engineServer('i-2'), WHOLE, 0)).toBe(Number.POSITIVE_INFINITY);
  });

  it('counts what was used without being asked for', () => {
    const { ledger, tryGive } = bucketsWithLimit(2);
    expect(tryGive(0)).toBe(false);
    ledger.grant(SERVER, WHOLE, 0);
    expect(tryGive(600)).toBe(false);
    expect(tryGive(1000)).toBe(true);
  });

  it('saves nothing up in place of a host that is silent now and then', () => {
    const { tryGive } = bucketsWithLimit(2);
    expect(tryGive(0, STAND_IN)).toBe(false);
    expect(tryGive(10_000, STAND_IN)).toBe(false);
    expect(tryGive(11_000, STAND_IN)).toBe(true);
  });

  it('begins anew with each life', () => {
    const { ledger, limits, tryGive } = bucketsWithLimit(2);
    expect(tryGive(0)).toBe(false);
    const next = { ...SERVER, startedAtMs: 7 };
    limits.applyNotice(next, { kind: 'named', perSecond: 2 }, 100, 400);
    expect(ledger.availablePermits(next, WHOLE, 500)).toBe(0);
  });

  it('never gives more in 4 s than the limit names and what is saved up', () => {
    const pauses = fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 300 });
    const perSecond = fc.double({ min: 0.05, max: 30, noNaN: true });
    fc.assert(
      fc.property(pauses, perSecond, (after, limit) => {
        const { tryGive } = bucketsWithLimit(limit);
        let nowMs = 0;
        const givenAtMs = after.flatMap((pauseMs) => {
          nowMs += pauseMs;
          return tryGive(nowMs) ? [nowMs] : [];
        });
        const most = limit * 4 + 1 + limit / 4 + 1e-6;
        for (const fromMs of givenAtMs) {
          const inWindow = givenAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 4000);
          expect(inWindow.length).toBeLessThanOrEqual(most);
        }
      }),
    );
  });
});
