import type { BackendServer } from '@poppypond/fleet';
import { request } from 'node:http';
import { Duplex } from 'node:stream';
import { Result } from 'true-myth';
import type { PeerAddress } from '../peers/peer-list.js';
import type { Connected, ConnectFailure } from './server-connector.js';

/** Path at which hosts forward connections; the id of the server follows. */
export const FORWARDING_PATH = '/forward/';
/** Statuses of a host that tried to connect; any other means that it did not try. */
export const FORWARDING_STATUS = { connected: 200, refused: 502, silent: 504 } as const;

const FAILURES_BY_STATUS: Readonly<Record<number, ConnectFailure['why']>> = {
  [FORWARDING_STATUS.refused]: 'refused',
  [FORWARDING_STATUS.silent]: 'silent',
};

/**
 * Opens a connection to a server through a peer. Request and response bodies carry its bytes in
 * chunks, so that the loss of the peer can't be mistaken for the end of the server's response.
 */
export function connectThrough(
  peer: PeerAddress,
  { id }: BackendServer,
  signal: AbortSignal,
): Promise<Connected> {
  return new Promise((resolve) => {
    const path = `${FORWARDING_PATH}${encodeURIComponent(id)}`;
    const { address, port } = peer;
    const outgoing = request({ host: address, port, method: 'POST', path, agent: false, signal });
    const fail = (why: ConnectFailure['why'], detail: string) => {
      resolve(Result.err({ why, detail: `${peer.host}: ${detail}`, isServerAtFault: true }));
      outgoing.destroy();
    };
    outgoing.on('error', ({ message }) => {
      fail('unavailable', message);
    });
    outgoing.once('response', (response) => {
      const status = response.statusCode ?? 0;
      response.on('error', () => undefined);
      if (status !== FORWARDING_STATUS.connected)
        return fail(FAILURES_BY_STATUS[status] ?? 'unavailable', `status ${String(status)}`);
      const connection = Duplex.from({ readable: response, writable: outgoing });
      connection.on('error', () => undefined);
      resolve(Result.ok(connection));
    });
    outgoing.flushHeaders();
  });
}
