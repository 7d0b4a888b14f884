/** A datagram holds 64 KB; what is larger than this goes in several. */
const FRAGMENT_BYTES = 16 * 1024;

/** Splits bytes into pieces that fit one datagram each; at least one. */
export function splitIntoFragments(bytes: Uint8Array): readonly Uint8Array[] {
  const fragments: Uint8Array[] = [];
  for (let from = 0; from < bytes.length || from === 0; from += FRAGMENT_BYTES) {
    fragments.push(bytes.subarray(from, from + FRAGMENT_BYTES));
  }
  return fragments;
}

/** One of the pieces of something. */
export interface Fragment {
  /** Names what it is a piece of. */
  readonly name: string;
  readonly index: number;
  readonly count: number;
  readonly bytes: Uint8Array;
}

/** Things of which pieces are kept; older ones are given up, as they are asked for again. */
const MAX_INCOMPLETE = 4;
/** The most pieces of one thing: what a platform keeps in one row fits. */
const MAX_FRAGMENTS = 512;

/** Puts pieces together that come in any order, more than once, or not at all. */
export class FragmentAssembler {
  readonly #incomplete = new Map<string, Map<number, Uint8Array>>();

  /** Takes one piece; the whole once all are there, else undefined. */
  add({ name, index, count, bytes }: Fragment): Buffer | undefined {
    if (count > MAX_FRAGMENTS || index >= count) return undefined;
    const fragments = this.#incomplete.get(name) ?? new Map<number, Uint8Array>();
    fragments.set(index, bytes);
    this.#incomplete.delete(name);
    if (fragments.size < count) {
      this.#incomplete.set(name, fragments);
      this.#dropOldest();
      return undefined;
    }
    const inOrder = [...fragments].sort(([left], [right]) => left - right);
    return Buffer.concat(inOrder.map(([, fragment]) => fragment));
  }

  #dropOldest(): void {
    const [oldest] = this.#incomplete.keys();
    if (this.#incomplete.size > MAX_INCOMPLETE && oldest !== undefined)
      this.#incomplete.delete(oldest);
  }
}
