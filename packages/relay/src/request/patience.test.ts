import { describe, expect, it } from 'vitest';
import type { PlannedStream } from '../planning/plan-request.js';
import { busyPatienceMs, firstPatienceMs } from './patience.js';

const ROUTE = {
  name: 'r',
  hostName: 'h',
  pathPrefix: '/',
  kind: 'stream',
  isResumable: true,
  targets: [],
  maxAttempts: 2,
  timeoutMs: 15_000,
  aimMs: 3000,
  gapAimMs: 1000,
  priority: 1,
  isAuthExempt: false,
} as const;
/** What a caller of `ROUTE` waits in silence: four aims. */
const SILENCE_MS = 12_000;

function streamOf(expectedFirstMs: number): PlannedStream {
  return {
    rule: 'parts_without_harm',
    writerId: 'i-1',
    readerIds: [],
    partMs: expectedFirstMs,
    shares: [],
    expectedFirstMs,
    writersBefore: 0,
    readingBeforeMs: 0,
    permittedIds: [],
  };
}

describe('busyPatienceMs', () => {
  it('leaves time for another engine to read the prompt before the caller leaves', () => {
    for (const expectedMs of [100, 1000, 1900, 4000]) {
      const stream = streamOf(expectedMs);
      const patienceMs = busyPatienceMs(ROUTE, stream);
      expect(patienceMs + expectedMs).toBeLessThanOrEqual(SILENCE_MS);
      expect(patienceMs).toBeGreaterThan(firstPatienceMs(stream, SILENCE_MS));
    }
  });

  it('stays with an engine where no other could be in time', () => {
    expect(busyPatienceMs(ROUTE, streamOf(6000))).toBeGreaterThan(SILENCE_MS);
  });
});
