export * from './ports.js';
export * from './relay.js';
export * from './settings.js';
