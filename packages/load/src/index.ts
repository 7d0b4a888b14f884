export * from './prompt.js';
export * from './sample-objects.js';
export * from './stream-client.js';
