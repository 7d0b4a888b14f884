import { describe, expect, it } from 'vitest';
import type { PlannedStream } from '../planning/plan-request.js';
import { busyTimeoutMs, firstEventTimeoutMs } from './silence-timeouts.js';

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
const CALLER_TIMEOUT_MS = 12_000;

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
      const timeoutMs = busyTimeoutMs(ROUTE, stream);
      expect(timeoutMs + expectedMs).toBeLessThanOrEqual(CALLER_TIMEOUT_MS);
      expect(timeoutMs).toBeGreaterThan(firstEventTimeoutMs(stream, CALLER_TIMEOUT_MS));
    }
  });

  it('stays with an engine where no other could be in time', () => {
    expect(busyTimeoutMs(ROUTE, streamOf(6000))).toBeGreaterThan(CALLER_TIMEOUT_MS);
  });
});
