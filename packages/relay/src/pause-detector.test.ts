import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { PauseDetector } from './pause-detector.js';

describe('PauseWatch', () => {
  it('tells of a pause at the first look after it, once, and of nothing else', async () => {
    const clock = new ManualClock();
    const watch = new PauseDetector(clock);
    const pauses: number[] = [];
    watch.onPause((pausedMs) => pauses.push(pausedMs));
    const stop = watch.start();
    await clock.advance(5000);
    clock.skip(700);
    watch.check();
    expect(pauses).toEqual([]);
    clock.skip(4000);
    watch.check();
    watch.check();
    expect(pauses).toEqual([4000]);
    await clock.advance(5000);
    expect(pauses).toEqual([4000]);
    stop();
  });
});
