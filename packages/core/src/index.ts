export { loadBootClock } from './boot-clock.js';
export { releaseUnusedMemory } from './unused-memory.js';
export * from './clock.js';
export * from './identifiers.js';
export * from './json.js';
export * from './labels.js';
export * from './prompt-size.js';
export * from './result-codes.js';
