import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { WaitQueue } from './wait-queue.js';
import type { WaitingEntry } from './wait-queue.js';

function entry(item: string, more: Partial<WaitingEntry<string>> = {}): WaitingEntry<string> {
  return {
    item,
    priority: 5,
    workspace: 'a',
    weight: 1,
    rule: 'r',
    maxQueuedTokens: 1000,
    tokens: 100,
    group: 'short',
    expiresAtMs: 1000,
    ...more,
  };
}

function drain(queue: WaitQueue<string>, count = Number.POSITIVE_INFINITY): readonly string[] {
  const order: string[] = [];
  queue.startInOrder((item) => {
    if (order.length >= count) return false;
    order.push(item);
    return true;
  });
  return order;
}

describe('WaitQueue', () => {
  it('starts higher priority first', () => {
    const queue = new WaitQueue<string>();
    queue.enqueue(entry('low', { priority: 3 }));
    queue.enqueue(entry('high', { priority: 7 }));
    expect(drain(queue)).toEqual(['high', 'low']);
  });

  it('starts a short request although a long one before it must wait', () => {
    const queue = new WaitQueue<string>();
    queue.enqueue(entry('review', { group: 'long', priority: 9 }));
    queue.enqueue(entry('balance'));
    const started: string[] = [];
    queue.startInOrder((item) => item === 'balance' && started.push(item) > 0);
    expect(started).toEqual(['balance']);
    expect(queue.length).toBe(1);
  });

  it('shares tokens between workspaces by weight', () => {
    const queue = new WaitQueue<string>();
    for (let index = 0; index < 30; index += 1) {
      queue.enqueue(entry(`big${String(index)}`, { workspace: 'big', maxQueuedTokens: 1e6 }));
    }
    for (let index = 0; index < 30; index += 1) {
      const more = { workspace: 'double', weight: 2, maxQueuedTokens: 1e6 };
      queue.enqueue(entry(`double${String(index)}`, more));
    }
    const first = drain(queue, 15);
    const doubleWeightCount = first.filter((item) => item.startsWith('double')).length;
    expect(doubleWeightCount).toBe(10);
  });

  it('displaces entries of lower priority when full, and refuses an entry of equal priority', () => {
    const queue = new WaitQueue<string>();
    queue.enqueue(entry('low', { priority: 2, tokens: 900 }));
    expect(queue.enqueue(entry('same', { priority: 2, tokens: 900 })).isQueued).toBe(false);
    const result = queue.enqueue(entry('high', { priority: 6, tokens: 900 }));
    expect(result).toEqual({ isQueued: true, displaced: ['low'] });
    expect(queue.tokens).toBe(900);
  });

  it('keeps its counts exact and its tokens bounded for any sequence of operations', () => {
    const action = fc.oneof(
      fc.record({
        kind: fc.constant('enqueue' as const),
        priority: fc.integer({ min: 0, max: 9 }),
        tokens: fc.integer({ min: 1, max: 600 }),
        expiresAtMs: fc.integer({ min: 0, max: 100 }),
      }),
      fc.record({ kind: fc.constant('offer' as const), count: fc.integer({ min: 0, max: 4 }) }),
      fc.record({ kind: fc.constant('expire' as const), nowMs: fc.integer({ min: 0, max: 100 }) }),
    );
    fc.assert(
      fc.property(fc.array(action, { maxLength: 80 }), (actions) => {
        const queue = new WaitQueue<string>();
        const waiting = new Map<string, number>();
        actions.forEach((next, index) => {
          if (next.kind === 'enqueue') {
            const item = String(index);
            const result = queue.enqueue(entry(item, next));
            if (!result.isQueued) return;
            waiting.set(item, next.tokens);
            for (const gone of result.displaced) expect(waiting.delete(gone)).toBe(true);
          } else if (next.kind === 'offer') {
            for (const item of drain(queue, next.count)) expect(waiting.delete(item)).toBe(true);
          } else {
            for (const item of queue.takeExpired(next.nowMs))
              expect(waiting.delete(item)).toBe(true);
          }
          const tokens = [...waiting.values()].reduce((sum, value) => sum + value, 0);
          expect(queue.length).toBe(waiting.size);
          expect(queue.tokens).toBe(tokens);
          expect(tokens).toBeLessThanOrEqual(1000);
        });
      }),
      { seed: 12, numRuns: 300 },
    );
  });
});
