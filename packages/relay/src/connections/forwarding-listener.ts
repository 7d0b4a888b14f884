import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { PrometheusMetrics } from '@poppypond/telemetry';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { unescape } from 'node:querystring';
import { pipeline } from 'node:stream';
import type { Duplex } from 'node:stream';
import { connectDirectly } from './direct-connection.js';
import { FORWARDING_PATH, FORWARDING_STATUS } from './forwarded-connection.js';
import type { Reachability } from './reachability.js';
import type { UnexpectedErrors } from '../unexpected-errors.js';

/** Dependencies of `ForwardingListener`. */
export interface ForwardingListenerParts {
  readonly clock: Clock;
  readonly metrics: PrometheusMetrics;
  readonly unexpectedErrors: UnexpectedErrors;
  readonly reachability: Reachability;
  /** Whether a host with this network address is known. */
  readonly isPeerAddress: (address: string) => boolean;
  /** Returns a listed server. */
  readonly findServer: (id: string) => BackendServer | undefined;
  /** Returns other servers that accept connections if all is well. */
  readonly othersOf: (server: BackendServer) => readonly BackendServer[];
  /** Whether this host has no room for further connections, or is stopping. */
  readonly isClosed: () => boolean;
}

/** Leaves the asking host time to ask another one before its own timeout. */
const CONNECT_TIMEOUT_MS: Milliseconds = 150;
/** Bounds the descriptors and buffers: two connections each, with at most 64 KiB each. */
const MAX_CONNECTIONS = 500;
/** A connection without a byte in either direction for this long is closed. */
const IDLE_TIMEOUT_MS: Milliseconds = 60_000;
/** A host that has not connected to any server for longer may be partitioned itself. */
const WITNESS_MS: Milliseconds = 500;
/** One that answers suffices; more than one, as some may be down together. */
const MAX_WITNESS_CONNECTIONS = 3;
/** A round trip to a server takes a few milliseconds; the asking host waits for 300 ms in all. */
const WITNESS_TIMEOUT_MS: Milliseconds = 50;
const FORBIDDEN = 403;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

/** Returns at most `count` elements at equal distances: neighbours in the list may fail together. */
function sampleOf<Element>(all: readonly Element[], count: number): readonly Element[] {
  const from = Math.floor(Math.random() * all.length);
  const step = Math.max(1, Math.floor(all.length / count));
  return all.filter((_element, index) => {
    const place = (index + from) % all.length;
    return place % step === 0 && place / step < count;
  });
}

/**
 * Connects other hosts to servers that they do not reach. Passes bytes on without reading them; the
 * asking host decides what is sent, and to which server.
 */
export class ForwardingListener {
  readonly #server: Server;
  #openCount = 0;

  constructor(readonly parts: ForwardingListenerParts) {
    this.#server = createServer({ noDelay: true, keepAlive: true }, (message, response) => {
      this.#forward(message, response).catch((error: unknown) => {
        parts.unexpectedErrors.report('forwarding_request', error);
        response.destroy();
      });
    });
    this.#server.requestTimeout = 0;
    this.#server.timeout = IDLE_TIMEOUT_MS;
  }

  /** Forwarded connections that are open. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Listens on the TCP port of the same number as the UDP port for peers. */
  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, resolve);
    });
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #forward(message: IncomingMessage, response: ServerResponse): Promise<void> {
    message.on('error', () => undefined);
    const { clock, metrics, reachability, isPeerAddress } = this.parts;
    const end = (status: number) => {
      metrics.count('poppypond_forwarded_connections_total', { status: String(status) });
      response.writeHead(status, { connection: 'close' });
      if (status === FORWARDING_STATUS.connected) response.flushHeaders();
      else response.end();
    };
    if (!isPeerAddress(message.socket.remoteAddress ?? '')) return end(FORBIDDEN);
    const server = this.#findServer(message);
    if (!server) return end(NOT_FOUND);
    if (!this.#isAvailable(server)) return end(UNAVAILABLE);
    this.#openCount += 1;
    response.once('close', () => {
      this.#openCount -= 1;
    });
    const cancellation = new AbortController();
    response.once('close', () => {
      cancellation.abort();
    });
    const { signal } = cancellation;
    const connected = await connectDirectly(clock, server, signal, CONNECT_TIMEOUT_MS);
    if (connected.isErr) {
      const { why } = connected.error;
      if (why !== 'refused' && why !== 'silent') return end(UNAVAILABLE);
      return end((await this.#isWitness(server)) ? FORWARDING_STATUS[why] : UNAVAILABLE);
    }
    reachability.recordConnected(server);
    end(FORWARDING_STATUS.connected);
    passOn(message, response, connected.value);
  }

  #findServer({ method, url = '' }: IncomingMessage): BackendServer | undefined {
    if (method !== 'POST' || !url.startsWith(FORWARDING_PATH)) return undefined;
    return this.parts.findServer(unescape(url.slice(FORWARDING_PATH.length)));
  }

  /** Whether this host reaches servers; one that has been idle connects to another one to find out. */
  async #isWitness(server: BackendServer): Promise<boolean> {
    const { clock, reachability, othersOf } = this.parts;
    if (reachability.connectedAgeMs <= WITNESS_MS) return true;
    const others = sampleOf(othersOf(server), MAX_WITNESS_CONNECTIONS);
    const { signal } = new AbortController();
    const connected = await Promise.all(
      others.map(async (other) => {
        const connection = await connectDirectly(clock, other, signal, WITNESS_TIMEOUT_MS);
        if (connection.isErr) return false;
        connection.value.destroy();
        reachability.recordConnected(other);
        return true;
      }),
    );
    return connected.includes(true);
  }

  /** A host that does not reach the server itself answers at once, so that another can be asked. */
  #isAvailable(server: BackendServer): boolean {
    const { isClosed, reachability } = this.parts;
    return !isClosed() && this.#openCount < MAX_CONNECTIONS && !reachability.isBroken(server);
  }
}

/** Passes bytes in both directions until one side closes. */
function passOn(message: IncomingMessage, response: ServerResponse, connection: Duplex): void {
  // Node reports a reset that arrives together with data as a clean end, see `ServerAttempt`.
  connection.prependOnceListener('end', () => {
    if (connection instanceof Socket && connection.remoteAddress === undefined) response.destroy();
  });
  response.once('close', () => {
    connection.destroy();
  });
  // Not by `pipeline`, which would abort the response when the server closes its connection first.
  message.pipe(connection);
  pipeline(connection, response, () => undefined);
}
