import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { DirectReadSchedule } from './direct-read-schedule.js';
import type { WatchState } from './direct-read-schedule.js';
import { StoreTurns } from './store-turns.js';

const CONFIRMED: WatchState = {
  isKnown: true,
  behindForMs: 0,
  confirmedAgeMs: 2900,
  maxAgeMs: 3000,
};

function scheduleFor(watchState: WatchState, turn = 0): DirectReadSchedule {
  const clock = new ManualClock();
  const turns = new StoreTurns(clock, { isReader: () => false, turn });
  turns.onJoined();
  return new DirectReadSchedule(clock, turns, () => watchState);
}

describe('OwnReads', () => {
  it('pauses until the word of others is too old, and looks often while nothing is known', () => {
    expect(scheduleFor(CONFIRMED).pauseMs).toBe(100);
    expect(scheduleFor({ ...CONFIRMED, confirmedAgeMs: 100 }).pauseMs).toBe(250);
    expect(scheduleFor({ ...CONFIRMED, isKnown: false }).pauseMs).toBe(20);
  });

  // Before, every host looked 50 times a second for as long as an outage lasted.
  it('looks four times a second where its word is old and others have their turn before it', () => {
    const waiting = scheduleFor({ ...CONFIRMED, confirmedAgeMs: 3100 }, 5);
    expect(waiting.reason).toBeUndefined();
    expect(waiting.pauseMs).toBe(250);
    expect(scheduleFor({ ...CONFIRMED, confirmedAgeMs: 3100 }).reason).toBe('old_word');
  });

  it('asks again only after another while where it has its turn late', () => {
    const late = scheduleFor({ ...CONFIRMED, confirmedAgeMs: 60_000 }, 5);
    expect(late.reason).toBe('old_word');
    late.recordRead();
    expect(late.reason).toBeUndefined();
  });
});
