export * from './deployment.js';
export * from './generate-scenario.js';
export * from './outcome.js';
export * from './simulation.js';
