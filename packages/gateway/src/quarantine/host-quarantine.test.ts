import { ManualClock } from '@poppypond/mocks';
import { silentLog, silentMetrics } from '@poppypond/telemetry';
import type { ProbeResult } from '@poppypond/web';
import { describe, expect, it } from 'vitest';
import { HostQuarantine } from './host-quarantine.js';

const CONTENT = { head: ['w', 'm'], body: Buffer.from('a prompt') };
const MAX_ATTEMPTS = 10;

function createQuarantine(state: () => ProbeResult) {
  const clock = new ManualClock();
  const ask = () => Promise.resolve(state());
  const parts = { clock, log: silentLog, metrics: silentMetrics, host: 'h', ask };
  return { clock, quarantine: new HostQuarantine(parts) };
}

/**
 * Runs a request whose attempts are all cut, until it is quarantined or reaches `MAX_ATTEMPTS`.
 * Returns the number of servers that received it.
 */
async function runRequest(quarantine: HostQuarantine, content = CONTENT): Promise<number> {
  const request = quarantine.track(content);
  for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts += 1) {
    if (request.checkHold()) return attempts;
    request.begin();
    await request.onResponseCut(`s${String(attempts)}`, 'http://127.0.0.1:1');
  }
  return MAX_ATTEMPTS;
}

describe('HostQuarantine', () => {
  it('quarantines a request after it has terminated three servers over all its tries, and no other request', async () => {
    const { clock, quarantine } = createQuarantine(() => 'refused');
    expect(await runRequest(quarantine)).toBe(3);
    for (let tries = 0; tries < 20; tries += 1) expect(await runRequest(quarantine)).toBe(0);
    const held = quarantine.track(CONTENT).checkHold();
    expect(held).toMatchObject({ code: 'quarantined', retryAfterMs: 20_000 });
    expect(held?.detail).toContain('s0, s1, s2');
    expect(quarantine.track({ ...CONTENT, head: ['other', 'm'] }).checkHold()).toBeUndefined();
    await clock.advance(20_000);
    expect(await runRequest(quarantine)).toBe(1);
  });

  it('ignores cut responses of a server that is still running, and releases a request that is served', async () => {
    let state: ProbeResult = 'listening';
    const { quarantine } = createQuarantine(() => state);
    expect(await runRequest(quarantine)).toBe(MAX_ATTEMPTS);
    state = 'refused';
    const inFlight = quarantine.track(CONTENT);
    await runRequest(quarantine);
    expect(quarantine.track(CONTENT).checkHold()).toBeDefined();
    inFlight.onServed();
    expect(quarantine.track(CONTENT).checkHold()).toBeUndefined();
  });
});
