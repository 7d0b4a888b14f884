import { describe, expect, it } from 'vitest';
import { encodeList, decodeList } from './server-wire-format.js';
import { compressBytes, decompressBytes } from './byte-encoding.js';

describe('byte encoding', () => {
  it('restores compressed bytes of any length, and rejects bytes that are not compressed', () => {
    const bytes = Buffer.from('{"version":1}'.repeat(5000));
    expect(decompressBytes(compressBytes(bytes))).toEqual(bytes);
    const random = Buffer.from(
      Array.from({ length: 30_000 }, (_unused, index) => (index * 7919) % 251),
    );
    const noise = Buffer.concat(
      Array.from({ length: 60 }, (_unused, index) => random.subarray(index * 13)),
    );
    for (let index = 0; index < noise.length; index += 1) {
      noise[index] = (Math.imul(index, 2654435761) >>> 13) & 255;
    }
    expect(decompressBytes(compressBytes(noise))).toEqual(noise);
    expect(decompressBytes(Buffer.from('not compressed'))).toBeUndefined();
  });

  it('decodes no server list from invalid bytes, and does not throw', () => {
    const list = { servers: [], version: 3, graceMs: 0 };
    expect(decodeList(encodeList(list))).toEqual(list);
    for (const bytes of [Buffer.from([0xc1]), Buffer.from([0x93, 1]), Buffer.from('text')]) {
      expect(decodeList(compressBytes(bytes))).toBeUndefined();
    }
  });
});
