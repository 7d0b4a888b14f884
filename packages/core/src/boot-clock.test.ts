import { describe, expect, it } from 'vitest';
import { loadBootClock, readBootClock } from './boot-clock.js';

describe.runIf(process.platform === 'linux')('readBootClock', () => {
  it('advances at the rate of the steady clock while the host is not suspended', async () => {
    expect(await loadBootClock()).toBeUndefined();
    const bootOffsetMs = (readBootClock() ?? Number.NaN) - performance.now();
    await new Promise((resolve) => setTimeout(resolve, 50));
    expect((readBootClock() ?? Number.NaN) - performance.now()).toBeCloseTo(bootOffsetMs, -1);
  });
});
