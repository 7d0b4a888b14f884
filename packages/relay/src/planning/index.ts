/** What others need to play the planner without a relay. */
export { ServerList } from '../store/server-list.js';
export type { PlanAnswer, PlannedStream, PlanRequest } from './plan-request.js';
export { Planner } from './planner.js';
