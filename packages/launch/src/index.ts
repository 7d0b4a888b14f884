export * from './fleet.js';
export * from './program.js';
