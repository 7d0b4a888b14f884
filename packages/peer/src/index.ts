export * from './link.js';
export * from './membership.js';
export * from './mesh.js';
export * from './messages.js';
export * from './peer-messages.js';
