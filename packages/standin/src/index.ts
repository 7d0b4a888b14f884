export { startEngine } from './engine/app.js';
export type { EngineAppOptions } from './engine/app.js';
export type { EngineModelSettings } from './engine/model-settings.js';
export { startPlatform } from './platform/app.js';
export type { Platform, PlatformOptions } from './platform/app.js';
export { startService } from './service/app.js';
export { KvMemory } from './engine/kv-memory.js';
