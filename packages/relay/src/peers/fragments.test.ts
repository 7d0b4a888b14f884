import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { FragmentAssembler, splitIntoFragments } from './fragments.js';

describe('FragmentAssembler', () => {
  it('reassembles a payload from fragments in any order, repeated, and mixed with those of another', () => {
    fc.assert(
      fc.property(fc.nat(60_000), fc.nat(40_000), fc.nat(), (length, other, seed) => {
        const payloads = [length, other].map((size, index) =>
          Buffer.from(Array.from({ length: size }, (_unused, at) => (at * 31 + index) % 251)),
        );
        const sent = payloads.flatMap((bytes, payloadIndex) => {
          const fragments = splitIntoFragments(bytes);
          return fragments.map((fragment, index) => {
            return { name: String(payloadIndex), index, count: fragments.length, bytes: fragment };
          });
        });
        const order = sent
          .map((fragment, at) => ({ fragment, place: Math.imul(at + 1, seed + 7919) % 97 }))
          .sort((left, right) => left.place - right.place);
        const assembler = new FragmentAssembler();
        const completed = order.flatMap(({ fragment }) => {
          const results = [assembler.add(fragment), assembler.add(fragment)];
          return results.flatMap((payload) => (payload ? [{ name: fragment.name, payload }] : []));
        });
        const first = completed.find(({ name }) => name === '0');
        expect(first?.payload.equals(payloads[0] ?? Buffer.alloc(0))).toBe(true);
      }),
      { seed: 27, numRuns: 50 },
    );
  });

  it('returns nothing while a fragment is missing, and keeps few incomplete payloads', () => {
    const assembler = new FragmentAssembler();
    const fragment = { index: 0, count: 2, bytes: Buffer.from('a') };
    for (let payload = 0; payload < 100; payload += 1) {
      expect(assembler.add({ ...fragment, name: String(payload) })).toBeUndefined();
    }
    expect(assembler.add({ ...fragment, name: '0', index: 1 })).toBeUndefined();
    expect(assembler.add({ ...fragment, name: '99', index: 1 })?.toString()).toBe('aa');
    expect(assembler.add({ ...fragment, name: 'x', count: 1e9 })).toBeUndefined();
  });
});
