import { describe, expect, it } from 'vitest';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import type { ResponseHead } from '../ports.js';
import { isServerFailure } from './attempt-result.js';

/*
 * Guards against servers that are avoided for what is no failure of theirs: backoffs that they ask
 * for, responses of another server at their address, callers that leave.
 */

function whole(status: number, change: Partial<ResponseHead> = {}): AttemptOutcome {
  const head: ResponseHead = {
    status,
    requestId: undefined,
    isSigned: true,
    isNotExecuted: false,
    faultyEngine: undefined,
    word: { isLeaving: false, backoffMs: undefined },
    forwarded: [],
    ...change,
  };
  return { kind: 'whole', head, body: Buffer.alloc(0), isDelimited: true };
}

describe('isServerFailure', () => {
  it('counts internal errors, rejections and failed connections as failures of the server', () => {
    const failures = [
      whole(500),
      whole(502),
      whole(503, { isNotExecuted: true }),
      whole(429, { isNotExecuted: true }),
      { kind: 'broken', detail: '' } as const,
      { kind: 'not_sent', detail: '', isServerAtFault: true } as const,
    ];
    expect(failures.map((end) => isServerFailure(end))).toEqual(failures.map(() => true));
  });

  it('counts every other complete response as served', () => {
    const statuses = [200, 204, 400, 404, 429];
    expect(statuses.map((status) => isServerFailure(whole(status)))).toEqual(
      statuses.map(() => false),
    );
  });

  it('tells nothing about a server that asks for a backoff, another server, and cancelled attempts', () => {
    const word = { isLeaving: false, backoffMs: 1000 };
    const ends: readonly AttemptOutcome[] = [
      whole(503, { isNotExecuted: true, word }),
      whole(421, { isNotExecuted: true }),
      { kind: 'cancelled' },
      { kind: 'not_taken', why: 'caller_too_slow', detail: '' },
    ];
    expect(ends.map((end) => isServerFailure(end))).toEqual(ends.map(() => undefined));
  });
});
