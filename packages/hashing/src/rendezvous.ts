import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

interface Ranked<Item> {
  readonly item: Item;
  readonly name: string;
  readonly weight: bigint;
}

function compareRanked<Item>(a: Ranked<Item>, b: Ranked<Item>): number {
  if (a.weight !== b.weight) return a.weight > b.weight ? -1 : 1;
  return a.name.localeCompare(b.name);
}

/**
 * Sorts items in rendezvous order for `key`. The order is the same on every host, and if an item is
 * added or removed the others keep their order. Highest-random-weight hashing (Thaler and
 * Ravishankar, 1998).
 */
export function rendezvousOrder<Item>(
  key: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): readonly Item[] {
  const seed = h64(key);
  return items
    .map((item) => ({ item, name: nameOf(item), weight: h64(nameOf(item), seed) }))
    .sort(compareRanked)
    .map((ranked) => ranked.item);
}
