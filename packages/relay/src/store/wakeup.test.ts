import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { Wakeup } from './wakeup.js';

describe('Wakeup', () => {
  it('ends a pause after its time, or when woken, and a wake before it counts for nothing', async () => {
    const clock = new ManualClock();
    const wakeup = new Wakeup(clock);
    const ended: string[] = [];
    wakeup.wake();
    void wakeup.sleep(100).then(() => ended.push('first'));
    await clock.advance(99);
    expect(ended).toEqual([]);
    await clock.advance(1);
    expect(ended).toEqual(['first']);
    void wakeup.sleep(100).then(() => ended.push('second'));
    wakeup.wake();
    await clock.advance(0);
    expect(ended).toEqual(['first', 'second']);
  });
});
