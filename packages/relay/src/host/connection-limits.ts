import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { ConnectionLimits } from '../server/caller-connections.js';
import type { RelaySettings } from '../settings.js';

/** Descriptors for files, and for connections to the store, other hosts and the readiness port. */
const RESERVED_DESCRIPTORS = 300;
/** However few descriptors there are, some callers can connect. */
const MIN_CONNECTIONS = 16;
/** The rest is for connections to backend servers: a caller that waits for a server needs two. */
const CALLER_SHARE = 2 / 3;

/** Returns the limit that the system sets to this process; undefined if it is not known. */
function descriptorsOfSystem(): number | undefined {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    const descriptors = Number(/^Max open files\s+(\d+)/m.exec(limits)?.[1]);
    return Number.isFinite(descriptors) ? descriptors : undefined;
  } catch {
    // Other systems have no such file.
    return undefined;
  }
}

function maxConnectionsOf(maxDescriptors: number): number {
  const descriptors = maxDescriptors > 0 ? maxDescriptors : descriptorsOfSystem();
  if (descriptors === undefined) return Number.POSITIVE_INFINITY;
  const forCallers = Math.floor((descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE);
  return Math.max(MIN_CONNECTIONS, forCallers);
}

/** Returns what callers' connections may take of this process. */
export function connectionLimitsOf({
  maxDescriptors,
  maxPipelinedRequests,
  callerHeapShare,
}: RelaySettings): ConnectionLimits {
  return {
    maxConnections: maxConnectionsOf(maxDescriptors),
    maxPipelined: Math.max(1, maxPipelinedRequests),
    maxCostBytes: callerHeapShare * getHeapStatistics().heap_size_limit,
  };
}
