import type { HeldReservation } from '@poppypond/backend';
import { describe, expect, it } from 'vitest';
import { isUnchanged, judgeReservation } from './judge-reservation.js';

const held: HeldReservation = {
  id: 'kv-1',
  owner: 'host-1/aaaa',
  requestId: 'r',
  attempt: 1,
  tokens: 1000,
  renewals: 3,
  ttlMs: -1,
  timeRemainingMs: 5000,
  isRunning: false,
};
const owner = { host: 'host-1', incarnation: 'aaaa' };

describe('judgeReservation', () => {
  it('never releases what a paused or claiming owner may need', () => {
    expect(judgeReservation(held, undefined)).toBeUndefined();
    expect(judgeReservation(held, { owner, isClaimed: true })).toBeUndefined();
    expect(
      judgeReservation({ ...held, isRunning: true, timeRemainingMs: -1 }, undefined),
    ).toBeUndefined();
    expect(judgeReservation({ ...held, ttlMs: 10 }, { owner, isClaimed: false })).toBeUndefined();
    const other = { host: 'host-2', incarnation: 'bbbb' };
    expect(judgeReservation(held, { owner: other, isClaimed: false })).toBeUndefined();
  });

  it('releases what its owner disclaims, what a replaced run held, and what is out of time', () => {
    expect(judgeReservation(held, { owner, isClaimed: false })).toBe('owner_disclaims');
    const next = { host: 'host-1', incarnation: 'bbbb' };
    expect(judgeReservation(held, { owner: next, isClaimed: false })).toBe('owner_replaced');
    expect(judgeReservation({ ...held, timeRemainingMs: 0 }, undefined)).toBe('time_limit_passed');
  });

  it('needs two looks without a renewal in between', () => {
    expect(isUnchanged(undefined, held)).toBe(false);
    expect(isUnchanged({ ...held, renewals: 2 }, held)).toBe(false);
    expect(isUnchanged(held, held)).toBe(true);
  });
});
