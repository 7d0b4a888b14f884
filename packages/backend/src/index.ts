export * from './attempt.js';
export * from './engine-memory.js';
export * from './engine-commands.js';
export * from './json-lines-feed.js';
export * from './service-call.js';
export * from './engine-load.js';
