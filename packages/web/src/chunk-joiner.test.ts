import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ChunkJoiner } from './chunk-joiner.js';

describe('ChunkJoiner', () => {
  it('passes on all bytes in their order, and counts the chunks', () => {
    const sizes = fc.array(fc.oneof(fc.constant(1), fc.nat(3000), fc.nat(20_000)));
    fc.assert(
      fc.property(sizes, (chunkSizes) => {
        const chunks = chunkSizes.map((size, index) => Buffer.alloc(size, index));
        const passedOn: Buffer[] = [];
        let passedOnCount = 0;
        const joiner = new ChunkJoiner((bytes, chunkCount) => {
          passedOn.push(bytes);
          passedOnCount += chunkCount;
        });
        for (const chunk of chunks) joiner.push(chunk);
        joiner.flush();
        expect(Buffer.concat(passedOn).equals(Buffer.concat(chunks))).toBe(true);
        if (chunks.every(({ length }) => length > 0)) expect(passedOnCount).toBe(chunks.length);
      }),
    );
  });

  it('passes on small chunks of one turn of the event loop together', async () => {
    const passedOn: string[] = [];
    const joiner = new ChunkJoiner((bytes) => passedOn.push(bytes.toString()));
    joiner.push(Buffer.from('a'));
    joiner.push(Buffer.from('b'));
    expect(passedOn).toEqual([]);
    await new Promise((resolve) => setImmediate(resolve));
    joiner.push(Buffer.from('c'));
    await new Promise((resolve) => setImmediate(resolve));
    expect(passedOn).toEqual(['ab', 'c']);
  });
});
