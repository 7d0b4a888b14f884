export * from './engine-times.js';
export * from './fleet-view.js';
export * from './place-call.js';
export * from './place-stream.js';
export * from './read-queue.js';
export * from './retry-budget.js';
export * from './retry-decision.js';
export * from './stream-plan.js';
