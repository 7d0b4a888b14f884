export * from './prefix-chain.js';
export * from './rendezvous.js';
export * from './chat-prompt.js';
export * from './answer-token.js';
