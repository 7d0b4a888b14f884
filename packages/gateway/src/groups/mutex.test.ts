import { flushPromises } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { Mutex } from './mutex.js';

describe('Mutex', () => {
  it('is held by one at a time, in order of arrival', async () => {
    const mutex = new Mutex();
    const order: string[] = [];
    const lockAndRecord = async (name: string) => {
      const end = await mutex.lock();
      order.push(name);
      return end;
    };
    const locking = ['a', 'b', 'c'].map(lockAndRecord);
    await flushPromises();
    expect(order).toEqual(['a']);
    (await locking[0])?.();
    await flushPromises();
    expect(order).toEqual(['a', 'b']);
    (await locking[1])?.();
    await locking[2];
    expect(order).toEqual(['a', 'b', 'c']);
  });
});
