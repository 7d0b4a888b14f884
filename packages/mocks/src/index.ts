export * from './engines.js';
export * from './fake-mesh.js';
export * from './manual-clock.js';
export * from './memory-table.js';
export * from './scheduled-clock.js';
export * from './fake-object-store.js';
