import type { Milliseconds } from '@poppypond/core';
import { readFileSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import type { RelaySettings } from '../settings.js';
import { MAX_PAUSED_BYTES } from './unread-bytes.js';

/** Bounds of what callers' connections may take. */
export interface ConnectionLimits {
  /** Connections that may be open. */
  readonly maxConnections: number;
  /** Connections that may be open, but for those that only wait for a response: they may have unread bytes. */
  readonly maxReceiving: number;
  /** Connections up to which single reads need not be watched. */
  readonly maxUnwatched: number;
  /** Requests of one connection that are served at a time. */
  readonly maxPipelined: number;
  /** Time for which a connection of very small chunks may have to rest for others. */
  readonly maxParsingRestMs: Milliseconds;
  /** Estimated bytes that unfinished heads and requests of all connections may take. */
  readonly maxCostBytes: number;
}

/** The heads of so many connections fit into the heap, whatever they cost. */
const MAX_UNWATCHED = 128;
/** Descriptors for files, and for connections to the store, other hosts and the readiness port. */
const RESERVED_DESCRIPTORS = 300;
/** However few descriptors there are, some callers can connect. */
const MIN_CONNECTIONS = 16;
/** A caller whose request runs needs a second descriptor for the connection to its server. */
const DESCRIPTORS_PER_CALLER = 2;
const BYTES_PER_MEGABYTE = 1_000_000;

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

function maxByDescriptors(maxDescriptors: number): number {
  const descriptors = maxDescriptors > 0 ? maxDescriptors : descriptorsOfSystem();
  if (descriptors === undefined) return Number.POSITIVE_INFINITY;
  return Math.floor((descriptors - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CALLER);
}

/** What all of them have sent may wait in the system, which the host's memory has to bear. */
function maxByMemory(memoryMegabytes: number, unreadShare: number): number {
  if (memoryMegabytes <= 0) return Number.POSITIVE_INFINITY;
  const unreadBytes = memoryMegabytes * BYTES_PER_MEGABYTE * unreadShare;
  return Math.max(MIN_CONNECTIONS, Math.floor(unreadBytes / MAX_PAUSED_BYTES));
}

/** Returns what callers' connections may take of this process. */
export function connectionLimitsOf({
  maxDescriptors,
  maxPipelinedRequests,
  memoryMegabytes,
  unreadMemoryShare,
  callerHeapShare,
  maxParsingRestMs,
}: RelaySettings): ConnectionLimits {
  return {
    maxConnections: Math.max(MIN_CONNECTIONS, maxByDescriptors(maxDescriptors)),
    maxReceiving: maxByMemory(memoryMegabytes, unreadMemoryShare),
    maxUnwatched: MAX_UNWATCHED,
    maxPipelined: Math.max(1, maxPipelinedRequests),
    maxParsingRestMs,
    maxCostBytes: callerHeapShare * getHeapStatistics().heap_size_limit,
  };
}
