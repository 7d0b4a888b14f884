import { formatChainHash } from './prefix-chain.js';

const ANSWER_DIGITS = 6;

/** The token at `index` of the engine stand-in's answer to a prompt with this chain value. */
export function answerToken(chain: bigint, index: number): string {
  return `${formatChainHash(chain).slice(0, ANSWER_DIGITS)}-${String(index)} `;
}
