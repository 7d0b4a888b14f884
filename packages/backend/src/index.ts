export * from './attempt.js';
export * from './engine-memory.js';
export * from './engine-orders.js';
export * from './line-feed.js';
export * from './service-call.js';
export * from './engine-load.js';
