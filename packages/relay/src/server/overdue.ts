import type { Milliseconds } from '@poppypond/core';
import type { CloseReason } from './closed-connections.js';
import type { Watched } from './watched-connection.js';

/** Times after which a connection is closed. */
export interface ConnectionTimeouts {
  /** Time in which a head must be complete. */
  readonly headTimeoutMs: () => Milliseconds;
  /** Time for which a connection may do nothing. */
  readonly idleTimeoutMs: () => Milliseconds;
}

/** A connection to which nothing could be sent for this long is closed. */
const UNREAD_TIMEOUT_MS: Milliseconds = 300_000;

/** Returns why a connection is to be closed at `nowMs`, and records what it has sent until then. */
export function findOverdue(
  watched: Watched,
  nowMs: Milliseconds,
  { headTimeoutMs, idleTimeoutMs }: ConnectionTimeouts,
): CloseReason | undefined {
  const { connection, headAtMs, progressAtMs } = watched;
  const { socket } = connection;
  const sentBytes = socket.bytesWritten - socket.writableLength;
  if (sentBytes !== watched.sentBytes || socket.writableLength === 0) {
    watched.sentBytes = sentBytes;
    watched.sentAtMs = nowMs;
  }
  if (nowMs - watched.sentAtMs > UNREAD_TIMEOUT_MS) return 'unread_timeout';
  if (!connection.isIdle) return undefined;
  if (headAtMs !== undefined && nowMs - headAtMs > headTimeoutMs()) return 'head_timeout';
  if (!connection.hasRequested && nowMs - progressAtMs > idleTimeoutMs()) return 'idle_timeout';
  return undefined;
}
