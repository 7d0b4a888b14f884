import { seededRandom } from '@poppypond/load';

/** Random choices of a scenario, reproducible by their seed. */
export class ScenarioRandom {
  readonly #uniform: () => number;

  constructor(seed: number) {
    this.#uniform = seededRandom(seed);
  }

  /** Returns a uniform random number in [0, 1). */
  next(): number {
    return this.#uniform();
  }

  /** Returns an integer from `low` to `high`, both included. */
  between(low: number, high: number): number {
    return low + Math.floor(this.next() * (high - low + 1));
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  pick<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }
}
