import { performance } from 'node:perf_hooks';

/**
 * Returns a function that returns the share of time, since its last call, in which the event loop of
 * this process was not idle.
 */
export function createUtilizationReader(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    return utilization;
  };
}
