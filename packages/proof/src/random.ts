import { seededRandom } from '@poppypond/load';

/** Seeded random choices of a scenario. */
export class ScenarioRandom {
  readonly #uniform: () => number;

  constructor(seed: number) {
    this.#uniform = seededRandom(seed);
  }

  /** In [0, 1). */
  next(): number {
    return this.#uniform();
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
