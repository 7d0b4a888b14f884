/** The planner and its types, for simulations without a relay. */
export { ServerList } from '../store/server-list.js';
export type { PlanAnswer, PlannedStream, PlanRefusal, PlanRequest } from './plan-request.js';
export { Planner } from './planner.js';
