import type { PriorityDemand } from './demand-estimate.js';

/** The engines that requests of one priority may use: those with index `from` up to before `to`. */
export interface EngineWindow {
  readonly from: number;
  readonly to: number;
  /** The engines up to before this one are preferred: less urgent requests leave them alone. */
  readonly preferredTo: number;
}

/**
 * Engines kept for a demand beyond those that it keeps busy, in square roots of their number: the
 * square-root rule of staffing, by which the variation of random arrivals is absorbed. With 1.0, 0.03
 * fewer urgent requests are in time under overload; with 2.0, 0.13 fewer of the middle priority are.
 */
const HEADROOM_ROOTS = 1.5;
/**
 * Share of its demand that each priority is guaranteed, whatever more urgent ones ask for. A
 * quarter of the usual service must remain to the least urgent; the rest is margin for estimates.
 */
const GUARANTEED_SHARE = 0.35;
/** Guaranteed shares take at most this part of the engines from more urgent priorities. */
const MAX_GUARANTEED_PART = 0.35;
const MS_PER_SECOND = 1000;

function busyEngines(demands: readonly PriorityDemand[]): number {
  return demands.reduce((sum, demand) => sum + demand.engineMsPerSecond, 0) / MS_PER_SECOND;
}

/** Engines that serve a demand without waits. */
function withHeadroom(demands: readonly PriorityDemand[]): number {
  const busy = busyEngines(demands);
  return Math.ceil(busy + HEADROOM_ROOTS * Math.sqrt(busy));
}

/**
 * Returns the engines that requests of `priority` may use, of `engines` usable ones in the order of
 * the server list. The first ones are kept for more urgent priorities, which fill engines in this
 * order, and the last ones for the guaranteed shares of less urgent priorities.
 */
export function engineWindow(
  priority: number,
  demands: readonly PriorityDemand[],
  engines: number,
): EngineWindow {
  const moreUrgent = demands.filter((demand) => demand.priority < priority);
  const lessUrgent = demands.filter((demand) => demand.priority > priority);
  const own = demands.filter((demand) => demand.priority === priority);
  const guaranteed = (part: readonly PriorityDemand[]) =>
    Math.ceil(Math.min(busyEngines(part) * GUARANTEED_SHARE, engines * MAX_GUARANTEED_PART));
  const wantedHeadroom = withHeadroom(moreUrgent);
  const ownAndLess = guaranteed([...own, ...lessUrgent]);
  const from = Math.max(0, Math.min(wantedHeadroom, engines - Math.max(1, ownAndLess)));
  const to = Math.max(from + 1, engines - guaranteed(lessUrgent));
  const ownTo = withHeadroom([...moreUrgent, ...own]);
  const preferredTo = Math.min(engines, Math.max(from + 1, Math.min(to, ownTo)));
  return { from, to: Math.min(engines, to), preferredTo };
}
