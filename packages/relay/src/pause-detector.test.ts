import { ManualClock } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { PauseDetector } from './pause-detector.js';

describe('PauseDetector', () => {
  it('reports a pause once, at the first check after it, and nothing else', async () => {
    const clock = new ManualClock();
    const detector = new PauseDetector(clock);
    const pauses: number[] = [];
    detector.onPause((pausedMs) => pauses.push(pausedMs));
    const stop = detector.start();
    await clock.advance(5000);
    clock.skip(700);
    detector.check();
    expect(pauses).toEqual([]);
    clock.skip(4000);
    detector.check();
    detector.check();
    expect(pauses).toEqual([4000]);
    await clock.advance(5000);
    expect(pauses).toEqual([4000]);
    stop();
  });
});
