export * from './program.js';
export * from './schemas.js';
export * from './settings.js';
export * from './settings-file.js';
