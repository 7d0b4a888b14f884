import xxhash from 'xxhash-wasm';

const { h64 } = await xxhash();

/** Characters per token, for estimates without a tokenizer. */
export const CHARACTERS_PER_TOKEN = 4;

/** Tokens in one block of the prefix cache. */
export const BLOCK_TOKENS = 1024;

const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** The chain hash before the first block. */
export const CHAIN_START = 0n;

/** Estimates the number of tokens in `text` from its length alone. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

/**
 * Returns the chain hash after each complete block of `text`, for at most `maxBlocks` blocks.
 * Two prompts have the same first n blocks exactly if their n-th hashes are equal.
 */
export function hashBlocks(
  text: string,
  maxBlocks: number,
  start: bigint = CHAIN_START,
): readonly bigint[] {
  const count = Math.min(maxBlocks, Math.floor(text.length / BLOCK_CHARACTERS));
  const values: bigint[] = [];
  let value = start;
  for (let block = 0; block < count; block += 1) {
    const from = block * BLOCK_CHARACTERS;
    value = h64(text.slice(from, from + BLOCK_CHARACTERS), value);
    values.push(value);
  }
  return values;
}

/** Returns the chain hash after all of `text`, including an incomplete last block. */
export function hashText(text: string, start: bigint = CHAIN_START): bigint {
  const blocks = hashBlocks(text, Number.POSITIVE_INFINITY, start);
  const remainder = text.slice(blocks.length * BLOCK_CHARACTERS);
  const value = blocks.at(-1) ?? start;
  return remainder.length > 0 ? h64(remainder, value) : value;
}

/** Formats a chain hash as 16 hexadecimal digits. */
export function formatChainHash(value: bigint): string {
  return value.toString(16).padStart(16, '0');
}

/**
 * Splits `text` into parts of at most `maxTokens` tokens, but at least one block. Each part except
 * the last is a whole number of blocks.
 */
export function splitAtBlocks(text: string, maxTokens: number): readonly string[] {
  const blocks = Math.max(1, Math.floor(maxTokens / BLOCK_TOKENS));
  const characters = blocks * BLOCK_CHARACTERS;
  const parts: string[] = [];
  for (let from = 0; from < text.length; from += characters) {
    parts.push(text.slice(from, from + characters));
  }
  return parts;
}
