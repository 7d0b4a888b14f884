import type { Clock, Milliseconds } from '@poppypond/core';
import { connect } from 'node:net';

/** A server that does not accept a connection within this time is skipped; it was sent nothing. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 300;

/**
 * Whether a process listens at the address of a server. `refused`: its process has ended. `silent`:
 * its host is gone or cannot be reached.
 */
export type ProbeResult = 'listening' | 'refused' | 'silent';

/**
 * An overloaded server accepts a connection and resets it; the reset may be reported before the
 * connection.
 */
function resultOfError(code: string | undefined): ProbeResult {
  if (code === 'ECONNREFUSED') return 'refused';
  return code === 'ECONNRESET' ? 'listening' : 'silent';
}

/** The address at which a server accepts connections. */
export interface ServerEndpoint {
  readonly address: string;
  readonly port: number;
}

/** Probes a server by a connection without data, which takes none of the server's request slots. */
export function probeServer(clock: Clock, server: ServerEndpoint): Promise<ProbeResult> {
  return new Promise((resolve) => {
    const socket = connect({ host: server.address, port: server.port });
    const end = (state: ProbeResult) => {
      cancelTimeout();
      socket.destroy();
      resolve(state);
    };
    const cancelTimeout = clock.after(CONNECT_TIMEOUT_MS, () => {
      end('silent');
    });
    socket.once('connect', () => {
      end('listening');
    });
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      end(resultOfError(code));
    });
  });
}
