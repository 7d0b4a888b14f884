import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FragmentAssembler, splitIntoFragments } from './fragments.js';

describe('PieceCollector', () => {
  it('makes the whole from pieces in any order, repeated, and mixed with those of others', () => {
    fc.assert(
      fc.property(fc.nat(60_000), fc.nat(40_000), fc.nat(), (length, other, seed) => {
        const payloads = [length, other].map((size, index) =>
          Buffer.from(Array.from({ length: size }, (_unused, at) => (at * 31 + index) % 251)),
        );
        const sent = payloads.flatMap((bytes, whole) => {
          const pieces = splitIntoFragments(bytes);
          return pieces.map((piece, index) => {
            return { name: String(whole), index, count: pieces.length, bytes: piece };
          });
        });
        const order = sent
          .map((piece, at) => ({ piece, place: Math.imul(at + 1, seed + 7919) % 97 }))
          .sort((left, right) => left.place - right.place);
        const assembler = new FragmentAssembler();
        const completed = order.flatMap(({ piece }) => {
          const completed = [assembler.add(piece), assembler.add(piece)];
          return completed.flatMap((whole) => (whole ? [{ name: piece.name, whole }] : []));
        });
        const first = completed.find(({ name }) => name === '0');
        expect(first?.whole.equals(payloads[0] ?? Buffer.alloc(0))).toBe(true);
      }),
      { seed: 27, numRuns: 50 },
    );
  });

  it('makes nothing while a piece is missing, and keeps few unfinished things', () => {
    const collector = new FragmentAssembler();
    const piece = { index: 0, count: 2, bytes: Buffer.from('a') };
    for (let thing = 0; thing < 100; thing += 1) {
      expect(collector.add({ ...piece, name: String(thing) })).toBeUndefined();
    }
    expect(collector.add({ ...piece, name: '0', index: 1 })).toBeUndefined();
    expect(collector.add({ ...piece, name: '99', index: 1 })?.toString()).toBe('aa');
    expect(collector.add({ ...piece, name: 'x', count: 1e9 })).toBeUndefined();
  });
});
