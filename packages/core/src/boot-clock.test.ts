import { describe, expect, it } from 'vitest';
import { loadBootClock, readBootClock } from './boot-clock.js';

describe.runIf(process.platform === 'linux')('readBootClock', () => {
  it('goes on with the steady clock while the machine is awake', async () => {
    expect(await loadBootClock()).toBeUndefined();
    const bootOffsetMs = (readBootClock() ?? Number.NaN) - performance.now();
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect((readBootClock() ?? Number.NaN) - performance.now()).toBeCloseTo(bootOffsetMs, -1);
  });
});
