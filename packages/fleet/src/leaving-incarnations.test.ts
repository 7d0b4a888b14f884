import { engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import type { BackendServer } from './backend-server.js';
import { LeavingIncarnations } from './leaving-incarnations.js';

const SERVER: BackendServer = engineServer('i-1');
const DRAINING: BackendServer = { ...SERVER, isDraining: true };

function leavingFrom(announcedAtMs: number, server = SERVER): LeavingIncarnations {
  const leaving = new LeavingIncarnations();
  leaving.add(server, announcedAtMs);
  return leaving;
}

describe('LeavingIncarnations', () => {
  it('records the first announcement of each incarnation only', () => {
    const leaving = leavingFrom(100);
    expect(leaving.add(SERVER, 300)).toBe(false);
    expect(leaving.announcedAtMs(SERVER)).toBe(100);
    expect(leaving.announcedAtMs(engineServer('i-2'))).toBeUndefined();
  });

  it('keeps the announcement for as long as entries say ready', () => {
    const leaving = leavingFrom(0);
    for (let nowMs = 0; nowMs < 600_000; nowMs += 1000) leaving.onListed([SERVER], nowMs);
    expect(leaving.announcedAtMs(SERVER)).toBe(0);
  });

  it.each([
    ['start time', { startedAtMs: 7 }],
    ['port', { port: 9 }],
    ['address', { address: '10.0.0.9' }],
  ])('does not apply to an incarnation with another %s', (_name, change) => {
    const leaving = leavingFrom(0);
    expect(leaving.announcedAtMs({ ...SERVER, ...change })).toBeUndefined();
    expect(leaving.add({ ...SERVER, ...change }, 50)).toBe(true);
  });

  it('ignores a late entry that says ready, and takes one that persists for a new incarnation', () => {
    const leaving = leavingFrom(0);
    leaving.onListed([DRAINING], 1000);
    leaving.onListed([SERVER], 2000);
    leaving.onListed([DRAINING], 3000);
    leaving.onListed([SERVER], 4000);
    leaving.onListed([SERVER], 12_900);
    expect(leaving.announcedAtMs(SERVER)).toBe(0);
    leaving.onListed([SERVER], 13_100);
    expect(leaving.announcedAtMs(SERVER)).toBeUndefined();
  });

  it('takes a server that was unlisted for long for a new incarnation at once', () => {
    const leaving = leavingFrom(0);
    leaving.onListed([], 1000);
    leaving.onListed([], 11_000);
    leaving.onListed([SERVER], 11_100);
    expect(leaving.announcedAtMs(SERVER)).toBeUndefined();
  });

  it('keeps the announcement if an expired entry reappears by a write that took effect up to 6 s late', () => {
    const leaving = leavingFrom(0);
    leaving.onListed([], 1000);
    leaving.onListed([SERVER], 7000);
    leaving.onListed([], 10_600);
    expect(leaving.announcedAtMs(SERVER)).toBe(0);
  });

  it('lasts as long as the incarnation if start times are reported, whatever the list said meanwhile', () => {
    const born = { ...SERVER, startedAtMs: 5 };
    const leaving = leavingFrom(0, born);
    leaving.onListed([], 1000);
    leaving.onListed([born], 30_000);
    leaving.onListed([{ ...born, isDraining: true }], 31_000);
    leaving.onListed([born], 50_000);
    expect(leaving.announcedAtMs(born)).toBe(0);
    leaving.onListed([{ ...born, startedAtMs: 6 }], 51_000);
    expect(leaving.size).toBe(0);
  });

  it('drops a server that is no longer listed', () => {
    const leaving = leavingFrom(0);
    leaving.onListed([], 1000);
    leaving.onListed([], 62_000);
    expect(leaving.size).toBe(0);
  });
});
