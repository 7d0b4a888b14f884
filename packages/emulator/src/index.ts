export * from './deployment.js';
export * from './draw-deployment.js';
export * from './outcome.js';
export * from './play-day.js';
