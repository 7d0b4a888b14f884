import type { Milliseconds } from '@poppypond/core';

/** One life of a backend server, as the platform lists it. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Unix time at which this life began; undefined where the server doesn't tell. */
  readonly startedAtMs?: Milliseconds | undefined;
}

/**
 * Whether two words tell of one life. A server that starts again keeps its id, but not what it held
 * or ran; where it doesn't tell its birth, another address is a new life too.
 */
export function isSameIncarnation(one: BackendServer, other: BackendServer): boolean {
  return (
    one.id === other.id &&
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.port === other.port
  );
}
