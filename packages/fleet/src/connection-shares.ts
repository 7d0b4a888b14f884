/**
 * Share of the connections of an engine that its planner uses for attempts. Reservation commands,
 * status queries and hosts that reach no planner use the rest.
 */
const PLANNED_SHARE = 0.8;

/** Connections that each server of a service accepts from all hosts; unbounded if undefined. */
type MaxConnections = number | undefined;

/** The share of a host that does not know what others use: an equal one, at least one connection. */
export function equalConnectionShare(max: MaxConnections, hostCount: number): number {
  return max === undefined ? Number.POSITIVE_INFINITY : Math.max(1, Math.floor(max / hostCount));
}

/**
 * Attempts of all hosts that a planner may let use an engine at the same time. `isFallback`: hosts
 * that reach no planner share the connections that the planner leaves.
 */
export function plannedConnections(
  max: MaxConnections,
  hostCount: number,
  isFallback: boolean,
): number {
  if (max === undefined) return Number.POSITIVE_INFINITY;
  if (isFallback) return equalConnectionShare(max * (1 - PLANNED_SHARE), hostCount);
  return Math.max(1, Math.floor(max * PLANNED_SHARE));
}
