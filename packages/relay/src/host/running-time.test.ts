import type { Clock } from '@poppypond/core';
import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { RunningTime } from './running-time.js';

describe('RunningTime', () => {
  it('does not go on while the process is paused', () => {
    let nowMs = 0;
    const manual = new ManualClock();
    const clock: Clock = {
      monotonicMs: () => nowMs,
      wallMs: () => nowMs,
      after: (delayMs, callback) => manual.after(delayMs, callback),
      every: (periodMs, callback) => manual.every(periodMs, callback),
    };
    const time = new RunningTime(clock);
    nowMs = 250;
    expect(time.advance()).toBe(250);
    nowMs = 60_000;
    expect(time.advance()).toBe(750);
    expect(time.nowMs).toBe(750);
  });
});
