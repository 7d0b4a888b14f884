import type { Milliseconds } from '@poppypond/core';

/** One incarnation of a backend server, as the platform lists it. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Unix time at which this incarnation started; undefined if the server does not report it. */
  readonly startedAtMs?: Milliseconds | undefined;
}

/**
 * Whether two entries describe the same incarnation. A server that restarts keeps its id, but
 * neither its reserved memory nor its running requests. Without start times, a changed address or
 * port also means a new incarnation.
 */
export function isSameIncarnation(one: BackendServer, other: BackendServer): boolean {
  return (
    one.id === other.id &&
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
