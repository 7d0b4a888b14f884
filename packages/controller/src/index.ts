export { startController } from './controller.js';
export type { RunningController } from './controller.js';
export { controllerShape } from './settings.js';
export type { ControllerSettings } from './settings.js';
export { isUnchanged, findReleaseReason } from './sweep/find-release-reason.js';
