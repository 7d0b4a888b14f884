import type { Clock, Milliseconds } from '@poppypond/core';
import { connect } from 'node:net';

/** A server that doesn't take a connection in this time is passed over; nothing was sent. */
export const CONNECT_TIMEOUT_MS: Milliseconds = 300;

/**
 * Whether anything listens where a server was: `refused` where its process has ended, `silent` where
 * its machine is gone or can't be reached.
 */
export type ProbeResult = 'listening' | 'refused' | 'silent';

/** A server that is full takes a connection and resets it; that may be heard before the connection is. */
function resultOfError(code: string | undefined): ProbeResult {
  if (code === 'ECONNREFUSED') return 'refused';
  return code === 'ECONNRESET' ? 'listening' : 'silent';
}

/** Where a server takes connections. */
export interface ServerEndpoint {
  readonly address: string;
  readonly port: number;
}

/** Asks by a connection that carries nothing, so that it costs the server no place. */
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
