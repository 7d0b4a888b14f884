import { engineServer } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import type { BackendServer } from './backend-server.js';
import { LeavingIncarnations } from './leaving-lives.js';

const SERVER: BackendServer = engineServer('i-1');
const DRAINING: BackendServer = { ...SERVER, isDraining: true };

function leavingFrom(saidAtMs: number, server = SERVER): LeavingIncarnations {
  const lives = new LeavingIncarnations();
  lives.add(server, saidAtMs);
  return lives;
}

describe('LeavingLives', () => {
  it('takes each life in once, by its first word', () => {
    const lives = leavingFrom(100);
    expect(lives.add(SERVER, 300)).toBe(false);
    expect(lives.announcedAtMs(SERVER)).toBe(100);
    expect(lives.announcedAtMs(engineServer('i-2'))).toBeUndefined();
  });

  it('goes by the word as long as entries say ready, however long', () => {
    const lives = leavingFrom(0);
    for (let nowMs = 0; nowMs < 600_000; nowMs += 1000) lives.onListed([SERVER], nowMs);
    expect(lives.announcedAtMs(SERVER)).toBe(0);
  });

  it.each([
    ['birth', { startedAtMs: 7 }],
    ['port', { port: 9 }],
    ['address', { address: '10.0.0.9' }],
  ])('says nothing of another life by its %s', (_name, change) => {
    const lives = leavingFrom(0);
    expect(lives.announcedAtMs({ ...SERVER, ...change })).toBeUndefined();
    expect(lives.add({ ...SERVER, ...change }, 50)).toBe(true);
  });

  it('takes a late entry that says ready for what it is, and one that stays for a new life', () => {
    const lives = leavingFrom(0);
    lives.onListed([DRAINING], 1000);
    lives.onListed([SERVER], 2000);
    lives.onListed([DRAINING], 3000);
    lives.onListed([SERVER], 4000);
    lives.onListed([SERVER], 12_900);
    expect(lives.announcedAtMs(SERVER)).toBe(0);
    lives.onListed([SERVER], 13_100);
    expect(lives.announcedAtMs(SERVER)).toBeUndefined();
  });

  it('takes one that was not listed for long for a new life at once', () => {
    const lives = leavingFrom(0);
    lives.onListed([], 1000);
    lives.onListed([], 11_000);
    lives.onListed([SERVER], 11_100);
    expect(lives.announcedAtMs(SERVER)).toBeUndefined();
  });

  it('keeps one that lapsed and is back by a write that was taken up to 6 s late', () => {
    const lives = leavingFrom(0);
    lives.onListed([], 1000);
    lives.onListed([SERVER], 7000);
    lives.onListed([], 10_600);
    expect(lives.announcedAtMs(SERVER)).toBe(0);
  });

  it('holds as long as the life where births are told, whatever the list said meanwhile', () => {
    const born = { ...SERVER, startedAtMs: 5 };
    const lives = leavingFrom(0, born);
    lives.onListed([], 1000);
    lives.onListed([born], 30_000);
    lives.onListed([{ ...born, isDraining: true }], 31_000);
    lives.onListed([born], 50_000);
    expect(lives.announcedAtMs(born)).toBe(0);
    lives.onListed([{ ...born, startedAtMs: 6 }], 51_000);
    expect(lives.size).toBe(0);
  });

  it('forgets what is listed no more', () => {
    const lives = leavingFrom(0);
    lives.onListed([], 1000);
    lives.onListed([], 62_000);
    expect(lives.size).toBe(0);
  });
});
