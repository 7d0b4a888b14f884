export * from './configuration.js';
export * from './active-configuration.js';
export * from './freshness.js';
export * from './key-trust.js';
export * from './route-table.js';
