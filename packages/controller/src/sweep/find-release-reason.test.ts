import type { MemoryReservation } from '@poppypond/backend';
import { describe, expect, it } from 'vitest';
import { isUnchanged, findReleaseReason } from './find-release-reason.js';

const held: MemoryReservation = {
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

describe('findReleaseReason', () => {
  it('returns undefined for a reservation that a paused or claiming owner may need', () => {
    expect(findReleaseReason(held, undefined)).toBeUndefined();
    expect(findReleaseReason(held, { owner, isClaimed: true })).toBeUndefined();
    expect(
      findReleaseReason({ ...held, isRunning: true, timeRemainingMs: -1 }, undefined),
    ).toBeUndefined();
    expect(findReleaseReason({ ...held, ttlMs: 10 }, { owner, isClaimed: false })).toBeUndefined();
    const other = { host: 'host-2', incarnation: 'bbbb' };
    expect(findReleaseReason(held, { owner: other, isClaimed: false })).toBeUndefined();
  });

  it('allows a release if the owner disclaims it, was replaced, or the time limit has passed', () => {
    expect(findReleaseReason(held, { owner, isClaimed: false })).toBe('owner_disclaims');
    const next = { host: 'host-1', incarnation: 'bbbb' };
    expect(findReleaseReason(held, { owner: next, isClaimed: false })).toBe('owner_replaced');
    expect(findReleaseReason({ ...held, timeRemainingMs: 0 }, undefined)).toBe('time_limit_passed');
  });

  it('requires two passes without a renewal in between', () => {
    expect(isUnchanged(undefined, held)).toBe(false);
    expect(isUnchanged({ ...held, renewals: 2 }, held)).toBe(false);
    expect(isUnchanged(held, held)).toBe(true);
  });
});
