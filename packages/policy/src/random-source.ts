/** Uniform random numbers in [0, 1). */
export interface RandomSource {
  next(): number;
}

/** Picks one item at random; undefined if there is none. */
export function pickOne<Item>(items: readonly Item[], random: RandomSource): Item | undefined {
  return items[Math.floor(random.next() * items.length)];
}

/**
 * Picks `count` different items at random, in random order; returns all of them as they are if
 * there are no more.
 */
export function pickSome<Item>(
  items: readonly Item[],
  count: number,
  random: RandomSource,
): readonly Item[] {
  if (items.length <= count) return items;
  const picked = new Set<Item>();
  while (picked.size < count) {
    const item = pickOne(items, random);
    if (item !== undefined) picked.add(item);
  }
  return [...picked];
}
