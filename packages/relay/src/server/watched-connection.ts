import type { Milliseconds } from '@poppypond/core';
import type { CallerConnection } from './caller-connection.js';

/** A connection and when it got on; all times are those of `RunningTime`. */
export interface Watched {
  readonly connection: CallerConnection;
  costBytes: number;
  isClosing: boolean;
  /** Whether its last read filled the buffer, so that more is likely to wait in the system. */
  hasMore: boolean;
  /** When a head or a part of a body was last read; at first, when it was accepted. */
  progressAtMs: Milliseconds;
  /** When a head began that is not complete yet; undefined if there is none. */
  headAtMs: Milliseconds | undefined;
  /** Bytes that the system had taken to send at the last sweep, and when that last changed. */
  sentBytes: number;
  sentAtMs: Milliseconds;
}
