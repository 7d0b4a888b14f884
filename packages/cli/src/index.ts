export { formatRelayStatus, readRelayStatus, relayStatusReply } from './relay-status.js';
