import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 32;
/** The first numbers of neighbouring seeds are alike. */
const SKIPPED = 64;

/** Seeded random choices of a scenario. */
export class ScenarioRandom {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let skipped = 0; skipped < SKIPPED; skipped += 1) this.#generator.next();
  }

  /** In [0, 1). */
  next(): number {
    return (this.#generator.next() >>> 0) / RANGE;
  }

  /** A whole number from `low` to `high`, both included. */
  between(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }
}
