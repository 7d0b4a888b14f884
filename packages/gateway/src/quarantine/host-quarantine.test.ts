import { ManualClock } from '@poppypond/mocks';
import { silentLog, silentMetrics } from '@poppypond/telemetry';
import type { ProbeResult } from '@poppypond/web';
import { describe, expect, it } from 'vitest';
import { HostQuarantine } from './host-quarantine.js';

const CONTENT = { head: ['w', 'm'], body: Buffer.from('a prompt') };
const MOST_ATTEMPTS = 10;

function make(state: () => ProbeResult) {
  const clock = new ManualClock();
  const ask = () => Promise.resolve(state());
  const parts = { clock, log: silentLog, metrics: silentMetrics, host: 'h', ask };
  return { clock, quarantine: new HostQuarantine(parts) };
}

/** One try: attempts until something keeps it from another; how many servers were given it. */
async function tryOnce(quarantine: HostQuarantine, content = CONTENT): Promise<number> {
  const request = quarantine.follow(content);
  for (let attempts = 0; attempts < MOST_ATTEMPTS; attempts += 1) {
    if (request.heldBecause()) return attempts;
    request.begin();
    await request.onCut(`s${String(attempts)}`, 'http://127.0.0.1:1');
  }
  return MOST_ATTEMPTS;
}

describe('HostQuarantine', () => {
  it('gives a request that ends servers to three of them, over all its tries, and others to as many as before', async () => {
    const { clock, quarantine } = make(() => 'refused');
    expect(await tryOnce(quarantine)).toBe(3);
    for (let tries = 0; tries < 20; tries += 1) expect(await tryOnce(quarantine)).toBe(0);
    const held = quarantine.follow(CONTENT).heldBecause();
    expect(held).toMatchObject({ code: 'quarantined', retryAfterMs: 20_000 });
    expect(held?.detail).toContain('s0, s1, s2');
    expect(quarantine.follow({ ...CONTENT, head: ['other', 'm'] }).heldBecause()).toBeUndefined();
    await clock.advance(20_000);
    expect(await tryOnce(quarantine)).toBe(1);
  });

  it('counts no broken answer of a server that lives, and frees a request that is served', async () => {
    let state: ProbeResult = 'listening';
    const { quarantine } = make(() => state);
    expect(await tryOnce(quarantine)).toBe(MOST_ATTEMPTS);
    state = 'refused';
    const inFlight = quarantine.follow(CONTENT);
    await tryOnce(quarantine);
    expect(quarantine.follow(CONTENT).heldBecause()).toBeDefined();
    inFlight.onServed();
    expect(quarantine.follow(CONTENT).heldBecause()).toBeUndefined();
  });
});
