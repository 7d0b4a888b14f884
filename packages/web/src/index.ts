export * from './bearer-key.js';
export * from './body.js';
export * from './client.js';
export * from './reply.js';
export * from './router.js';
export * from './server.js';
export * from './server-state.js';
export * from './tls-files.js';
