export { DecayedRate } from './decayed-rate.js';
export { AdmissionControl } from './admission-control.js';
export type {
  AdmissionDecision,
  AdmissionRefusal,
  AdmissionRequest,
  AdmissionSituation,
  AdmissionState,
} from './admission-control.js';
export type { DemandingRequest, PriorityDemand } from './demand-estimate.js';
export { engineTimeMs } from './engine-time.js';
export type { EngineWindow } from './engine-windows.js';
export type { WorkspaceGrant } from './granted-time.js';
export type { LimitedDemand } from './regional-demand.js';
export { RegionShares, WHOLE_OVERLAP } from './region-shares.js';
export type { RegionOverlap } from './region-shares.js';
