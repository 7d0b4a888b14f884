export * from './configuration.js';
export * from './configuration-in-force.js';
export * from './freshness.js';
export * from './key-trust.js';
export * from './route-table.js';
