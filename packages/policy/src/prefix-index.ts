import { BLOCK_TOKENS } from '@poppypond/hashing';

/** An event of an engine's cache stream: the full list of cached blocks, or a delta to it. */
export type CacheEvent =
  | { readonly sequence: number; readonly all: readonly string[] }
  | {
      readonly sequence: number;
      readonly added: readonly string[];
      readonly removed: readonly string[];
    };

/**
 * Prompt blocks that one engine probably has in its cache. Events arrive late and with gaps, so
 * this is only a hint: a gap clears the index, and the stream must be reopened to get a full list.
 */
export class PrefixIndex {
  #blocks = new Set<string>();
  #sequence: number | undefined;

  get size(): number {
    return this.#blocks.size;
  }

  /**
   * Applies one event. Returns false at a sequence gap; the index is then empty until the next full
   * list.
   */
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

  /**
   * Leading prompt tokens that the engine probably has cached; `chain` holds the chain hashes of
   * the prompt's blocks.
   */
  cachedTokens(chain: readonly string[]): number {
    let matched = 0;
    while (matched < chain.length && this.#blocks.has(chain[matched] ?? '')) matched += 1;
    return matched * BLOCK_TOKENS;
  }
}
