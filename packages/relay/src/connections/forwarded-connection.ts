import type { BackendServer } from '@poppypond/fleet';
import { receiveResponse } from '@poppypond/web';
import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
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

/** A connection through a peer. Fails unless the peer states the end of the response. */
class ForwardedConnection extends Duplex {
  readonly #outgoing: ClientRequest;
  readonly #response: IncomingMessage;

  constructor(outgoing: ClientRequest, response: IncomingMessage) {
    super({ allowHalfOpen: false });
    this.#outgoing = outgoing;
    this.#response = response;
    // An error before the first use must not go unhandled.
    this.on('error', () => undefined);
    response.on('data', (chunk: Buffer) => {
      if (!this.push(chunk)) response.pause();
    });
    response.once('end', () => {
      this.push(null);
    });
    response.once('close', () => {
      if (!response.complete) this.destroy(new Error('the forwarding host closed the connection'));
    });
  }

  override _read(): void {
    this.#response.resume();
  }

  override _write(chunk: Buffer, _encoding: string, onWritten: () => void): void {
    if (this.#outgoing.write(chunk)) onWritten();
    else this.#outgoing.once('drain', onWritten);
  }

  override _final(onEnded: () => void): void {
    this.#outgoing.end();
    onEnded();
  }

  override _destroy(error: Error | null, onDestroyed: (error: Error | null) => void): void {
    this.#outgoing.destroy();
    this.#response.destroy();
    onDestroyed(error);
  }
}

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
    receiveResponse(outgoing, {
      onResponse: (response) => {
        const status = response.statusCode ?? 0;
        response.on('error', () => undefined);
        if (status !== FORWARDING_STATUS.connected)
          return fail(FAILURES_BY_STATUS[status] ?? 'unavailable', `status ${String(status)}`);
        resolve(Result.ok(new ForwardedConnection(outgoing, response)));
      },
      onFailure: (detail) => {
        fail('unavailable', detail);
      },
    });
    outgoing.flushHeaders();
  });
}
