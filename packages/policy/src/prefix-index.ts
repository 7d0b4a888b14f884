import { BLOCK_TOKENS } from '@poppypond/hashing';

/** A line of an engine's cache stream: a whole list, or a change. */
export type CacheEvent =
  | { readonly sequence: number; readonly all: readonly string[] }
  | {
      readonly sequence: number;
      readonly added: readonly string[];
      readonly removed: readonly string[];
    };

/**
 * Which prompt blocks one engine probably holds. Events come late and with gaps, so this is
 * a hint: at a gap the index is dropped and the stream must be opened again for a whole list.
 */
export class PrefixIndex {
  #blocks = new Set<string>();
  #sequence: number | undefined;

  get size(): number {
    return this.#blocks.size;
  }

  /** Takes one line; false at a gap, after which the index is empty until the next whole list. */
  apply(event: CacheEvent): boolean {
    if ('all' in event) {
      this.#blocks = new Set(event.all);
      this.#sequence = event.sequence;
      return true;
    }
    if (this.#sequence === undefined || event.sequence !== this.#sequence + 1) {
      this.clear();
      return false;
    }
    this.#sequence = event.sequence;
    for (const block of event.added) this.#blocks.add(block);
    for (const block of event.removed) this.#blocks.delete(block);
    return true;
  }

  clear(): void {
    this.#blocks.clear();
    this.#sequence = undefined;
  }

  /** Leading tokens of a prompt that the engine probably holds. */
  cachedTokens(chain: readonly string[]): number {
    let matched = 0;
    while (matched < chain.length && this.#blocks.has(chain[matched] ?? '')) matched += 1;
    return matched * BLOCK_TOKENS;
  }
}
