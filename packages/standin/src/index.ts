export { startFakeEngine } from './engine/app.js';
export type { EngineAppOptions } from './engine/app.js';
export type { EngineModelSettings } from './engine/model-settings.js';
export { startFakePlatform } from './platform/app.js';
export type { FakePlatform, PlatformOptions } from './platform/app.js';
export { startFakeService } from './service/app.js';
export { KvMemory } from './engine/kv-memory.js';
