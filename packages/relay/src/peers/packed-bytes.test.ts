import { describe, expect, it } from 'vitest';
import { packBytes, unpackBytes } from './packed-bytes.js';

describe('packed bytes', () => {
  it('come out as they went in, however long, unless they are none of ours', () => {
    const bytes = Buffer.from('{"version":1}'.repeat(5000));
    expect(unpackBytes(packBytes(bytes))).toEqual(bytes);
    const random = Buffer.from(
      Array.from({ length: 30_000 }, (_unused, index) => (index * 7919) % 251),
    );
    const noise = Buffer.concat(
      Array.from({ length: 60 }, (_unused, index) => random.subarray(index * 13)),
    );
    for (let index = 0; index < noise.length; index += 1) {
      noise[index] = (Math.imul(index, 2654435761) >>> 13) & 255;
    }
    expect(unpackBytes(packBytes(noise))).toEqual(noise);
    expect(unpackBytes(Buffer.from('not compressed'))).toBeUndefined();
  });
});
