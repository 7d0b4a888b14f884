import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { CONNECT_TIMEOUT_MS } from '@poppypond/web';
import { connect } from 'node:net';
import { Result } from 'true-myth';
import { afterEvents } from './after-events.js';
import type { Connected, ConnectFailure, ServerConnector } from './server-connector.js';

const FAILURES_BY_CODE: Readonly<Record<string, ConnectFailure['why']>> = {
  ECONNREFUSED: 'refused',
  ECONNRESET: 'reset',
};

function failure(why: ConnectFailure['why'], detail: string): Connected {
  return Result.err({ why, detail, isServerAtFault: true });
}

/** Opens a TCP connection from this host; gives up after `timeoutMs` or when `signal` is aborted. */
export function connectDirectly(
  clock: Clock,
  { address, port }: BackendServer,
  signal: AbortSignal,
  timeoutMs: Milliseconds = CONNECT_TIMEOUT_MS,
): Promise<Connected> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port, noDelay: true });
    const end = (connected: Connected) => {
      cancelTimeout();
      signal.removeEventListener('abort', onAbort);
      if (connected.isErr) socket.destroy();
      resolve(connected);
    };
    const onAbort = () => {
      end(failure('unavailable', 'cancelled'));
    };
    const cancelTimeout = afterEvents(clock, timeoutMs, () => {
      end(failure('silent', 'connect timeout'));
    });
    signal.addEventListener('abort', onAbort, { once: true });
    socket.once('connect', () => {
      end(Result.ok(socket));
    });
    // Stays for the life of the connection: an error before its first use must not go unhandled.
    socket.on('error', ({ code, message }: NodeJS.ErrnoException) => {
      end(failure(FAILURES_BY_CODE[code ?? ''] ?? 'silent', message));
    });
    if (signal.aborted) onAbort();
  });
}

/** Connects from this host only. */
export class DirectConnector implements ServerConnector {
  constructor(readonly clock: Clock) {}

  connect(server: BackendServer, signal: AbortSignal): Promise<Connected> {
    return connectDirectly(this.clock, server, signal);
  }
}
