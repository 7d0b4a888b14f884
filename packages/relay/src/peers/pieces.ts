/** A datagram holds 64 KB; what is larger than this goes in several. */
const PIECE_BYTES = 16 * 1024;

/** Splits bytes into pieces that fit one datagram each; at least one. */
export function splitPieces(bytes: Uint8Array): readonly Uint8Array[] {
  const pieces: Uint8Array[] = [];
  for (let from = 0; from < bytes.length || from === 0; from += PIECE_BYTES) {
    pieces.push(bytes.subarray(from, from + PIECE_BYTES));
  }
  return pieces;
}

/** One of the pieces of something. */
export interface Piece {
  /** Names what it is a piece of. */
  readonly name: string;
  readonly index: number;
  readonly count: number;
  readonly bytes: Uint8Array;
}

/** Things of which pieces are kept; older ones are given up, as they are asked for again. */
const MOST_OPEN = 4;
/** The most pieces of one thing: what a platform keeps in one row fits. */
const MOST_PIECES = 512;

/** Puts pieces together that come in any order, more than once, or not at all. */
export class PieceCollector {
  readonly #open = new Map<string, Map<number, Uint8Array>>();

  /** Takes one piece; the whole once all are there, else undefined. */
  add({ name, index, count, bytes }: Piece): Buffer | undefined {
    if (count > MOST_PIECES || index >= count) return undefined;
    const pieces = this.#open.get(name) ?? new Map<number, Uint8Array>();
    pieces.set(index, bytes);
    this.#open.delete(name);
    if (pieces.size < count) {
      this.#open.set(name, pieces);
      this.#dropOldest();
      return undefined;
    }
    const inOrder = [...pieces].sort(([left], [right]) => left - right);
    return Buffer.concat(inOrder.map(([, piece]) => piece));
  }

  #dropOldest(): void {
    const [oldest] = this.#open.keys();
    if (this.#open.size > MOST_OPEN && oldest !== undefined) this.#open.delete(oldest);
  }
}
