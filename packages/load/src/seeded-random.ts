import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const UINT32_RANGE = 2 ** 32;
/** The generator's first numbers are similar for adjacent seeds, so they are skipped. */
const SKIPPED_NUMBERS = 64;

/** Returns a generator of uniform numbers in [0, 1); the same seed gives the same sequence. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped += 1) generator.next();
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
