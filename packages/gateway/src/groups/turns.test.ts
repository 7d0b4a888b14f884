import { flushPromises } from '@poppypond/mocks';
import { describe, expect, it } from 'vitest';
import { Turns } from './turns.js';

describe('Turns', () => {
  it('lets one at a time through, in order', async () => {
    const turns = new Turns();
    const order: string[] = [];
    const enter = async (name: string) => {
      const end = await turns.take();
      order.push(name);
      return end;
    };
    const entering = ['a', 'b', 'c'].map(enter);
    await flushPromises();
    expect(order).toEqual(['a']);
    (await entering[0])?.();
    await flushPromises();
    expect(order).toEqual(['a', 'b']);
    (await entering[1])?.();
    await entering[2];
    expect(order).toEqual(['a', 'b', 'c']);
  });
});
