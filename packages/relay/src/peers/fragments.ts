/** Size of a fragment; larger payloads are sent in several datagrams. A datagram holds 64 KB. */
const FRAGMENT_BYTES = 16 * 1024;

/** Splits bytes into fragments that fit one datagram each; returns at least one. */
export function splitIntoFragments(bytes: Uint8Array): readonly Uint8Array[] {
  const fragments: Uint8Array[] = [];
  for (let from = 0; from < bytes.length || from === 0; from += FRAGMENT_BYTES) {
    fragments.push(bytes.subarray(from, from + FRAGMENT_BYTES));
  }
  return fragments;
}

/** One fragment of a payload. */
export interface Fragment {
  /** Identifies the payload that it is a part of. */
  readonly name: string;
  readonly index: number;
  readonly count: number;
  readonly bytes: Uint8Array;
}

/** Maximum number of incomplete payloads; the oldest is dropped, as it will be requested again. */
const MAX_INCOMPLETE = 4;
/** Maximum number of fragments of one payload; a row of the platform's store fits in them. */
const MAX_FRAGMENTS = 512;

/** Reassembles payloads from fragments that arrive in any order, more than once, or not at all. */
export class FragmentAssembler {
  readonly #incomplete = new Map<string, Map<number, Uint8Array>>();

  /**
   * Adds one fragment. Returns the payload once all of its fragments are there, otherwise
   * undefined.
   */
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

  /** Bytes of the incomplete payloads. */
  get heldBytes(): number {
    let bytes = 0;
    for (const fragments of this.#incomplete.values())
      for (const fragment of fragments.values()) bytes += fragment.length;
    return bytes;
  }

  #dropOldest(): void {
    const [oldest] = this.#incomplete.keys();
    if (this.#incomplete.size > MAX_INCOMPLETE && oldest !== undefined)
      this.#incomplete.delete(oldest);
  }
}
