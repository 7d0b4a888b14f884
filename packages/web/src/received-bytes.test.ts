import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ReceivedBytes } from './received-bytes.js';

describe('ReceivedBytes', () => {
  it('returns what was pushed, whatever its chunks and whether its length was known', () => {
    const sizes = fc.array(fc.oneof(fc.constant(1), fc.nat(3000), fc.nat(200_000)));
    fc.assert(
      fc.property(sizes, fc.boolean(), (chunkSizes, isLengthKnown) => {
        const chunks = chunkSizes.map((size, index) => Buffer.alloc(size, index));
        const whole = Buffer.concat(chunks);
        const received = new ReceivedBytes(isLengthKnown ? whole.length : undefined);
        for (const chunk of chunks) received.push(chunk);
        expect(received.length).toBe(whole.length);
        expect(received.take().equals(whole)).toBe(true);
        expect(received.length).toBe(0);
      }),
    );
  });

  it('takes what exceeds the length that was expected', () => {
    const received = new ReceivedBytes(100_000);
    received.push(Buffer.alloc(100_000, 1));
    received.push(Buffer.alloc(70_000, 1));
    expect(received.take().equals(Buffer.alloc(170_000, 1))).toBe(true);
  });
});
