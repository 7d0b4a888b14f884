export * from './program.js';
export * from './schemas.js';
export * from './settings.js';
