import { formatChainHash } from './prefix-chain.js';

const ANSWER_DIGITS = 6;

/** Returns the token at `index` of the fake engine's answer to a prompt with this chain hash. */
export function answerToken(chain: bigint, index: number): string {
  return `${formatChainHash(chain).slice(0, ANSWER_DIGITS)}-${String(index)} `;
}
