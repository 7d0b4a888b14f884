import { describe, expect, it } from 'vitest';
import type { CompletionCall } from '../history.js';
import {
  checkAtMostOnce,
  checkFences,
  checkLeaving,
  checkMemory,
  checkNoErrors,
  checkNoGap,
  checkNotRun,
  checkRevisions,
  checkCompleteAnswers,
  checkWithinLimit,
} from './checkers.js';

const call: CompletionCall = {
  gateway: 'g',
  startedAtMs: 0,
  endedAtMs: 900,
  limitMs: 1000,
  requestId: 'r1',
  code: 'ok',
  text: 'a b c ',
  expected: 'a b c ',
  offset: 0,
  isCancelled: false,
};
const none = new Set<string>();

describe('checkers accept a correct history and report each deliberate fault', () => {
  it('checkWithinLimit reports late and lost calls, but none of a gateway with an injected fault', () => {
    expect(checkWithinLimit([call], none, 250)).toEqual([]);
    expect(checkWithinLimit([{ ...call, endedAtMs: 1300 }], none, 250)).toHaveLength(1);
    expect(checkWithinLimit([{ ...call, code: 'lost' }], none, 250)).toHaveLength(1);
    expect(checkWithinLimit([{ ...call, code: 'lost' }], new Set(['g']), 250)).toEqual([]);
  });

  it('checkCompleteAnswers reports an incomplete answer with ok, and text that does not start the answer', () => {
    expect(checkCompleteAnswers([call, { ...call, code: 'incomplete', text: 'a ' }])).toEqual([]);
    expect(checkCompleteAnswers([{ ...call, text: 'a b ' }])).toHaveLength(1);
    expect(checkCompleteAnswers([{ ...call, code: 'incomplete', text: 'a a ' }])).toHaveLength(1);
  });

  it('checkNotRun reports a request that ran although its code says that it did not run', () => {
    const refused = { requestId: 'r1', code: 'queue_full' };
    expect(checkNotRun([refused], none)).toEqual([]);
    expect(checkNotRun([refused], new Set(['r1']))).toHaveLength(1);
    expect(checkNotRun([{ requestId: 'r1', code: 'incomplete' }], new Set(['r1']))).toEqual([]);
  });

  it('checkAtMostOnce reports a key that ran twice, and a receipt of another run', () => {
    const told = { gateway: 'g', key: 'k', requestId: 'r1', code: 'ok' as const, receipt: 1 };
    const run = { requestId: 'r1', body: 'k', receipt: 1 };
    expect(checkAtMostOnce([told], [run])).toEqual([]);
    expect(checkAtMostOnce([told], [run, { ...run, receipt: 2 }])).toHaveLength(1);
    expect(checkAtMostOnce([{ ...told, receipt: 7 }], [run])).toHaveLength(1);
  });

  it('checkRevisions reports a revision that decreases within an incarnation or is active too late', () => {
    const seen = { host: 'h', incarnation: 'i', atMs: 0, revision: 2 };
    const later = { ...seen, atMs: 9000, revision: 3 };
    expect(checkRevisions([seen, later], [{ atMs: 100, revision: 3 }], 2000)).toEqual([]);
    expect(checkRevisions([later, { ...seen, atMs: 9500 }], [], 2000)).toHaveLength(1);
    const late = { ...seen, atMs: 3000 };
    expect(checkRevisions([seen, late], [{ atMs: 100, revision: 3 }], 2000)).toHaveLength(1);
    const restarted = { ...seen, incarnation: 'j', atMs: 9100 };
    expect(checkRevisions([later, restarted], [], 2000)).toEqual([]);
  });

  it('checkFences reports a decreasing fencing token, checkNoGap an observation without a holder', () => {
    expect(checkFences(new Map([['e', [1, 1, 3]]]))).toEqual([]);
    expect(checkFences(new Map([['e', [1, 3, 2]]]))).toHaveLength(1);
    expect(checkNoGap([3, 1, 2])).toEqual([]);
    expect(checkNoGap([3, 0, 2])).toHaveLength(1);
  });

  it('checkLeaving reports late starts, checkMemory held tokens, checkNoErrors failed calls', () => {
    expect(checkLeaving([100, 2000], 0, 3000)).toEqual([]);
    expect(checkLeaving([100, 3500], 0, 3000)).toHaveLength(1);
    expect(checkMemory(new Map([['e', 0]]))).toEqual([]);
    expect(checkMemory(new Map([['e', 12]]))).toHaveLength(1);
    expect(checkNoErrors([call])).toEqual([]);
    expect(checkNoErrors([{ ...call, code: 'lost' }])).toHaveLength(1);
  });
});
