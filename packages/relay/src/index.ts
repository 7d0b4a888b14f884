export { DirectConnector } from './connections/direct-connection.js';
export type { ServerConnector } from './connections/server-connector.js';
export * from './ports.js';
export * from './relay.js';
export * from './settings.js';
