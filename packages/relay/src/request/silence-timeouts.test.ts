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
/** Idle timeout of a caller of `ROUTE`: four times its latency target. */
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

describe('busyTimeoutMs', () => {
  it('leaves time for another engine to prefill the prompt before the caller disconnects', () => {
    for (const expectedMs of [100, 1000, 1900, 4000]) {
      const stream = streamOf(expectedMs);
      const timeoutMs = busyTimeoutMs(ROUTE, stream);
      expect(timeoutMs + expectedMs).toBeLessThanOrEqual(CALLER_TIMEOUT_MS);
      expect(timeoutMs).toBeGreaterThan(firstEventTimeoutMs(stream, CALLER_TIMEOUT_MS));
    }
  });

  it('exceeds the idle timeout of the caller if no other engine could respond in time', () => {
    expect(busyTimeoutMs(ROUTE, streamOf(6000))).toBeGreaterThan(CALLER_TIMEOUT_MS);
  });
});
