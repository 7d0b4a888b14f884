export { startGateway } from './gateway.js';
export type { RunningGateway } from './gateway.js';
export { gatewayShape } from './settings.js';
export type { GatewaySettings } from './settings.js';
