import { engineServer, ManualClock } from '@poppypond/mocks';
import { silentLog } from '@poppypond/telemetry';
import { describe, expect, it } from 'vitest';
import type { EngineMemory } from '../ports.js';
import { MemoryReservation } from './memory-reservation.js';

/** Reserves memory for a decode engine whose responsiveness the test controls. */
async function reserveMemory(reservedForMs?: number) {
  const clock = new ManualClock();
  let isAlive = true;
  let lost = 0;
  const reservedAtMs: number[] = [];
  const memory: EngineMemory = {
    reserve: () => {
      reservedAtMs.push(clock.monotonicMs());
      return Promise.resolve({
        isReserved: true,
        ...(reservedForMs === undefined ? {} : { reservedForMs }),
      });
    },
    release: () => Promise.resolve({ isAnswered: true }),
    readStatus: () => Promise.resolve(isAlive ? { running: 1, memoryTokens: 1 } : undefined),
  };
  const held = await MemoryReservation.acquire({ clock, log: silentLog, memory }, 'r1', {
    requestId: 'q1',
    decodeEngine: engineServer('i-1'),
    needs: [{ server: engineServer('i-2'), tokens: 1000 }],
    onDecodeEngineLost: () => {
      lost += 1;
    },
  });
  const setAlive = (alive: boolean) => {
    isAlive = alive;
  };
  return { clock, held, reservedAtMs, setAlive, lostCount: () => lost };
}

describe('MemoryReservation', () => {
  it('is renewed while the decode engine responds, and no longer soon after it has died', async () => {
    const { clock, reservedAtMs, setAlive, lostCount } = await reserveMemory();
    for (let passedMs = 0; passedMs < 5000; passedMs += 100) await clock.advance(100);
    expect(reservedAtMs.length).toBeGreaterThanOrEqual(7);
    setAlive(false);
    const diedAtMs = clock.monotonicMs();
    for (let passedMs = 0; passedMs < 5000; passedMs += 100) await clock.advance(100);
    expect(lostCount()).toBeGreaterThan(0);
    expect((reservedAtMs.at(-1) ?? 0) - diedAtMs).toBeLessThanOrEqual(700);
  });

  it('is not renewed while the engine has reserved the memory for longer than requested', async () => {
    const { clock, reservedAtMs } = await reserveMemory(5200);
    for (let passedMs = 0; passedMs < 3000; passedMs += 100) await clock.advance(100);
    expect(reservedAtMs).toHaveLength(1);
    for (let passedMs = 0; passedMs < 700; passedMs += 100) await clock.advance(100);
    expect(reservedAtMs).toHaveLength(2);
  });

  it('is renewed at once when a decode engine that missed one status query responds again', async () => {
    const { clock, reservedAtMs, setAlive } = await reserveMemory();
    await clock.advance(700);
    setAlive(false);
    await clock.advance(700);
    setAlive(true);
    const before = reservedAtMs.length;
    await clock.advance(700);
    expect(reservedAtMs.length).toBe(before + 1);
  });
});
