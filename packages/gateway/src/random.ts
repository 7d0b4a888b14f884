import type { RandomSource } from '@poppypond/policy';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;

/** Creates a seeded random source; without `seed` the seed is random. */
export function createRandom(seed = Math.floor(Math.random() * RANGE)): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => (generator.next() >>> 0) / RANGE };
}
