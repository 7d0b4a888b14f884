import { fault } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import type { CallerLimits } from '@poppypond/routing';
import { createServer, ServerResponse } from 'node:http';
import type { Server } from 'node:http';
import { bodyTooLarge, BodyReader } from '../host/body-reader.js';
import type { BacklogProbe } from '../host/backlog-probe.js';
import type { ConnectionAdmission } from '../host/connection-admission.js';
import type { HostBudget, Reservation } from '../host/host-budget.js';
import type { HostFull } from '../host/host-full.js';
import type { CallerHead, OpenListener, RelayWire } from '../ports.js';
import { CallerResponse } from '../request/caller-response.js';
import { hostStopping } from '../request/final-response.js';
import { CallerConnection } from './caller-connection.js';
import type { CallerConnections } from './caller-connections.js';
import { CallerMessage } from './caller-message.js';
import type { UnexpectedErrors } from '../unexpected-errors.js';

/** A request that was received completely. */
export interface ReceivedRequest {
  readonly body: Buffer;
  readonly answer: CallerResponse;
  /** When its head was received. */
  readonly arrivedAtMs: Milliseconds;
}

/** Dependencies of `CallerListener`. */
export interface CallerListenerParts {
  readonly clock: Clock;
  readonly wire: RelayWire;
  readonly limits: () => CallerLimits;
  /** A body of which nothing arrives for this long is refused. */
  readonly stalledAfterMs: () => Milliseconds;
  /** The same while the host is short of memory, or stops. */
  readonly stalledUnderPressureMs: Milliseconds;
  /** Returns why a request is refused whatever its body is; undefined if it is not. */
  readonly refusalOf: (caller: CallerHead | undefined) => Fault | undefined;
  /** Whether connections are closed after their next response. */
  readonly isStopping: () => boolean;
  /** Resolves when the response is finished; the body is then no longer held. */
  readonly onRequest: (request: ReceivedRequest) => Promise<void>;
  readonly hostBudget: HostBudget;
  readonly hostFull: HostFull;
  readonly admission: ConnectionAdmission;
  readonly connections: CallerConnections;
  readonly backlogProbe: BacklogProbe;
  readonly unexpectedErrors: UnexpectedErrors;
}

/** The HTTP parser refuses larger heads; the limit that callers are given is smaller. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Idle timeout until the configuration sets another. */
const DEFAULT_IDLE_TIMEOUT_MS: Milliseconds = 60_000;
const HEADERS_TIMEOUT_MS: Milliseconds = 30_000;

/** HTTP server for callers: receives complete requests and passes them to `onRequest`. */
export class CallerListener {
  readonly #server: Server;
  readonly #bodies: BodyReader;
  #unfinishedCount = 0;

  constructor(readonly parts: CallerListenerParts) {
    const { clock, hostBudget, isStopping, stalledAfterMs, stalledUnderPressureMs } = parts;
    this.#bodies = new BodyReader(clock, hostBudget, {
      stalledAfterMs,
      stalledUnderPressureMs,
      stopping: () => (isStopping() ? hostStopping() : undefined),
    });
    this.#server = createServer(
      {
        IncomingMessage: CallerMessage,
        ServerResponse,
        maxHeaderSize: MAX_HEADER_BYTES,
        noDelay: true,
      },
      (message, response) => {
        void this.#handle(message, response);
      },
    );
    this.#server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
    this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.#server.requestTimeout = 0;
    // The size of a head bounds its lines; by default Node drops those beyond 1,000.
    this.#server.maxHeadersCount = 0;
    this.#limitConnections(parts);
  }

  /**
   * Lets Node close connections beyond the limit as it accepts them, while more than
   * `maxConnections` are open: it costs the host much less than to read and refuse them.
   */
  #limitConnections({ admission, backlogProbe, connections }: CallerListenerParts): void {
    this.#server.on('connection', (socket) => {
      if (backlogProbe.takeAccepted(socket)) return;
      admission.onAccepted();
      connections.add(socket);
    });
    this.#server.on('drop', () => {
      admission.onDropped();
    });
    admission.onChange((isOpen) => {
      this.#server.maxConnections = isOpen ? Number.MAX_SAFE_INTEGER : 1;
    });
  }

  /** Requests whose responses are not written completely, and those that are still received. */
  get unfinishedCount(): number {
    return this.#unfinishedCount;
  }

  listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, address, resolve);
    });
  }

  /** Accepts connections on a server that listens already, and serves those that it has accepted. */
  adopt({ server, sockets }: OpenListener): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(server, () => {
        this.#server.ref();
        for (const socket of sockets) {
          this.#server.emit('connection', socket);
          socket.resume();
        }
        resolve();
      });
    });
  }

  /** Sets the time after which idle connections are closed. */
  setIdleTimeout(idleMs: Milliseconds): void {
    this.#server.keepAliveTimeout = idleMs;
  }

  /** Stops accepting connections and closes idle ones. */
  close(): void {
    this.#server.close();
    this.closeIdle();
  }

  /** Closes idle connections. */
  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  /** Handles one request; an exception ends only this request. */
  async #handle(message: CallerMessage, response: ServerResponse): Promise<void> {
    const { clock, wire, isStopping, hostBudget, unexpectedErrors } = this.parts;
    this.parts.admission.onRequest();
    const arrivedAtMs = clock.monotonicMs();
    const connection = CallerConnection.of(message.socket);
    if (!connection.add(response)) return void message.resume();
    this.#unfinishedCount += 1;
    response.once('close', () => {
      this.#unfinishedCount -= 1;
    });
    let answer: CallerResponse | undefined;
    try {
      const caller = wire.parseCallerHead(message);
      answer = new CallerResponse(response, wire, caller, connection, isStopping, hostBudget);
      await this.#read(message, answer, arrivedAtMs);
    } catch (error) {
      unexpectedErrors.report('caller_request', error, { request: answer?.caller?.requestId });
      // No server was sent the request: `RequestExecution` handles the exceptions of others.
      if (!answer || answer.isFinished) response.destroy();
      else answer.refuseOrAbort(fault('internal_error', 'an unexpected error in the relay'));
    }
  }

  async #read(
    message: CallerMessage,
    answer: CallerResponse,
    arrivedAtMs: Milliseconds,
  ): Promise<void> {
    const { connections, hostFull, limits, refusalOf } = this.parts;
    if (hostFull.isFull || connections.isFull) return hostFull.refuse(answer);
    const { maxBodyBytes: maxBytes } = limits();
    const isTooLarge = Number(message.headers['content-length'] ?? 0) > maxBytes;
    const refusal = refusalOf(answer.caller) ?? (isTooLarge ? bodyTooLarge() : undefined);
    if (refusal) return answer.refuseUnread(refusal);
    const body = await this.#bodies.read(message, {
      maxBytes,
      timeLimitMs: answer.caller?.timeoutMs,
    });
    // The caller disconnected before its request was complete, so there is nobody to respond to.
    if (!body) return;
    if ('held' in body) await this.#serve({ body: body.bytes, answer, arrivedAtMs }, body.held);
    else if (body.code === 'body_too_large') answer.refuseUnread(body);
    else hostFull.refuse(answer, body);
  }

  async #serve(request: ReceivedRequest, held: Reservation): Promise<void> {
    const { connection, response } = request.answer;
    try {
      await connection.waitForTurn(response);
      if (!request.answer.isDisconnected) await this.parts.onRequest(request);
    } finally {
      held.end();
    }
  }
}
