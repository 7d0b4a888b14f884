export * from './configuration.js';
export * from './kinds.js';
export * from './resolve.js';
export * from './selector.js';
export * from './validate.js';
