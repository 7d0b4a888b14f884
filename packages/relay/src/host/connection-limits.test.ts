import { loadSettings } from '@poppypond/settings';
import { describe, expect, it } from 'vitest';
import { RELAY_SETTINGS } from '../settings.js';
import { connectionLimitsOf } from './connection-limits.js';

function limitsOf(settings: Readonly<Record<string, unknown>>) {
  const address = '10.0.0.1';
  const [listen, readinessListen, store] = [1, 2, 3].map((port) => `${address}:${String(port)}`);
  const names = { host: 'host-1', availabilityZone: 'zone-a', peerPort: 4, metricsPort: 5 };
  const required = { ...names, address, listen, readinessListen, store };
  const loaded = loadSettings(RELAY_SETTINGS, { ...required, ...settings }, {});
  if (loaded.isErr) throw new Error(loaded.error);
  return connectionLimitsOf(loaded.value);
}

describe('connectionLimitsOf', () => {
  it('leaves each caller a second descriptor for the connection to its server', () => {
    const maxDescriptors = 4100;
    const { maxConnections } = limitsOf({ maxDescriptors });
    expect(2 * maxConnections + 200).toBeLessThan(maxDescriptors);
  });

  it('bounds what may wait unread by the memory', () => {
    expect(limitsOf({ memoryMegabytes: 350 }).maxReceiving).toBe(534);
    expect(limitsOf({ memoryMegabytes: 0 }).maxReceiving).toBe(Number.POSITIVE_INFINITY);
  });
});
