export { startAdmin } from './admin.js';
export { adminShape } from './settings.js';
export type { AdminSettings } from './settings.js';
