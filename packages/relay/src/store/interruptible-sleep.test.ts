import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { InterruptibleSleep } from './interruptible-sleep.js';

describe('InterruptibleSleep', () => {
  it('ends a sleep after its time or when woken, and ignores a wake before the sleep', async () => {
    const clock = new ManualClock();
    const sleeper = new InterruptibleSleep(clock);
    const ended: string[] = [];
    sleeper.wake();
    void sleeper.sleep(100).then(() => ended.push('first'));
    await clock.advance(99);
    expect(ended).toEqual([]);
    await clock.advance(1);
    expect(ended).toEqual(['first']);
    void sleeper.sleep(100).then(() => ended.push('second'));
    sleeper.wake();
    await clock.advance(0);
    expect(ended).toEqual(['first', 'second']);
  });
});
