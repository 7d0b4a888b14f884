export * from './bounded-output.js';
export * from './log.js';
export * from './prometheus-metrics.js';
export * from './metrics.js';
export * from './suspensions.js';
