import { ManualClock } from '@poppypond/mocks';
import { PrometheusMetrics, silentLog } from '@poppypond/telemetry';
import { beforeEach, describe, expect, it } from 'vitest';
import { ConnectionAdmission } from './connection-admission.js';

const TICK_MS = 100;
const STARTUP_MS = 5000;

describe('ConnectionAdmission', () => {
  let clock: ManualClock;
  let admission: ConnectionAdmission;
  let utilization: number;
  let isOpen: boolean;
  let waitMs: number;

  beforeEach(() => {
    clock = new ManualClock();
    utilization = 1;
    isOpen = true;
    waitMs = 400;
    const shared = { clock, log: silentLog, metrics: new PrometheusMetrics() };
    admission = new ConnectionAdmission({
      ...shared,
      readUtilization: () => utilization,
      measureBacklogMs: () => Promise.resolve(waitMs),
    });
    admission.onChange((isNowOpen) => {
      isOpen = isNowOpen;
    });
    admission.start();
  });

  /** Connects `count` callers in each tick; returns how many were accepted in the last one. */
  async function connect(count: number, ticks: number): Promise<number> {
    let accepted = 0;
    for (let tick = 0; tick < ticks; tick += 1) {
      accepted = 0;
      for (let index = 0; index < count; index += 1) {
        if (!isOpen) admission.onDropped();
        else {
          accepted += 1;
          admission.onAccepted();
          admission.onRequest();
        }
      }
      await clock.advance(TICK_MS);
    }
    return accepted;
  }

  it('accepts fewer connections while the event loop is never idle, and never none', async () => {
    await clock.advance(STARTUP_MS);
    expect(await connect(20, 3)).toBe(20);
    expect(await connect(20, 2)).toBeLessThan(20);
    expect(await connect(20, 10)).toBeLessThan(8);
    expect(await connect(20, 100)).toBe(1);
  });

  it('accepts more as the event loop gets idle, and all once none was closed for a second', async () => {
    await clock.advance(STARTUP_MS);
    await connect(20, 12);
    utilization = 0.5;
    expect(await connect(20, 30)).toBe(20);
    await connect(20, 11);
    utilization = 1;
    expect(await connect(40, 2)).toBe(40);
  });

  it('limits nothing while connections are accepted in time, however busy the event loop is', async () => {
    await clock.advance(STARTUP_MS);
    waitMs = 200;
    expect(await connect(20, 50)).toBe(20);
  });

  it('limits nothing in the first seconds, for a short pause, or without new connections', async () => {
    expect(await connect(20, 49)).toBe(20);
    utilization = 0.5;
    await connect(20, 1);
    for (let pause = 0; pause < 5; pause += 1) {
      utilization = 1;
      expect(await connect(20, 2)).toBe(20);
      utilization = 0.5;
      expect(await connect(20, 6)).toBe(20);
    }
    utilization = 1;
    await connect(0, 30);
    expect(isOpen).toBe(true);
  });
});
