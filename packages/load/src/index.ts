export * from './prompt.js';
export * from './sample-objects.js';
export * from './seeded-random.js';
export * from './stream-client.js';
export * from './run-load.js';
export * from './summarize.js';
export * from './workload.js';
