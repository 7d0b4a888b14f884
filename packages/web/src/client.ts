import { Agent, request as startHttp } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { Agent as TlsAgent, request as startHttps } from 'node:https';
import type { Milliseconds } from '@poppypond/core';
import { Result } from 'true-myth';
import { ReceivedBytes } from './received-bytes.js';
import { receiveResponse } from './receive-response.js';

/** Why an HTTP call returned no response, or an incomplete one. */
export interface TransportFault {
  readonly reason: 'connect' | 'timeout' | 'closed' | 'cancelled';
  /** False only if no byte of the call can have reached the server. */
  readonly mayHaveArrived: boolean;
  readonly detail: string;
}

/** An HTTP request to be sent. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE' | (string & {});
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Timeout for the headers of the response, and in `callHttp` for the complete response. */
  readonly timeoutMs: Milliseconds;
  readonly signal?: AbortSignal;
  /**
   * Whether to open a new connection. The server may close a pooled one at the moment it is used,
   * and then it is unknown whether the call arrived.
   */
  readonly usesNewConnection?: boolean;
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const MAX_SOCKETS = 512;
/** Shorter than the keep-alive timeout of our servers. */
const IDLE_TIMEOUT_MS = 30_000;
const AGENT_OPTIONS = {
  keepAlive: true,
  maxSockets: MAX_SOCKETS,
  scheduling: 'lifo',
  timeout: IDLE_TIMEOUT_MS,
} as const;
const agent = new Agent(AGENT_OPTIONS);
/** Trusts the certificate authorities of Node; `NODE_EXTRA_CA_CERTS` adds the operators' own. */
const tlsAgent = new TlsAgent(AGENT_OPTIONS);

/** Closes the pooled connections. */
export function closeIdleConnections(): void {
  agent.destroy();
  tlsAgent.destroy();
}

/**
 * Starts a call and resolves when the headers of the response have arrived; the caller reads its
 * body.
 */
export function openHttp(call: HttpCall): Promise<Result<IncomingMessage, TransportFault>> {
  return new Promise((resolve) => {
    let isConnected = false;
    let isTimedOut = false;
    const isTls = call.url.startsWith('https:');
    const start = isTls ? startHttps : startHttp;
    const outgoing = start(call.url, {
      method: call.method,
      agent: call.usesNewConnection ? false : isTls ? tlsAgent : agent,
      headers: {
        ...(call.body === undefined ? {} : { 'content-length': Buffer.byteLength(call.body) }),
        ...call.headers,
      },
      ...(call.signal ? { signal: call.signal } : {}),
    });
    const timer = setTimeout(() => {
      isTimedOut = true;
      outgoing.destroy();
    }, call.timeoutMs);
    const reasonOf = (): TransportFault['reason'] => {
      if (call.signal?.aborted) return 'cancelled';
      if (isTimedOut) return 'timeout';
      return isConnected ? 'closed' : 'connect';
    };
    outgoing.once('socket', (socket) => {
      const connectEvent = isTls ? 'secureConnect' : 'connect';
      if (socket.connecting) socket.once(connectEvent, () => (isConnected = true));
      else isConnected = true;
    });
    receiveResponse(outgoing, {
      onResponse: (response) => {
        clearTimeout(timer);
        resolve(Result.ok(response));
      },
      onFailure: (detail) => {
        clearTimeout(timer);
        resolve(Result.err({ reason: reasonOf(), mayHaveArrived: isConnected, detail }));
      },
    });
    outgoing.end(call.body);
  });
}

/** Makes a call and reads the complete response. */
export async function callHttp(call: HttpCall): Promise<Result<HttpResponse, TransportFault>> {
  const started = performance.now();
  const opened = await openHttp(call);
  if (opened.isErr) return Result.err(opened.error);
  const response = opened.value;
  const remainingMs = Math.max(1, call.timeoutMs - (performance.now() - started));
  return new Promise((resolve) => {
    const received = new ReceivedBytes();
    const fail = (reason: TransportFault['reason']) => {
      clearTimeout(timer);
      resolve(
        Result.err({ reason, mayHaveArrived: true, detail: `incomplete response (${reason})` }),
      );
    };
    const timer = setTimeout(() => {
      response.destroy();
      fail('timeout');
    }, remainingMs);
    response.on('data', (chunk: Buffer) => {
      received.push(chunk);
    });
    response.once('error', () => {
      fail('closed');
    });
    response.once('close', () => {
      if (!response.complete) fail('closed');
    });
    response.once('end', () => {
      clearTimeout(timer);
      const body = received.take().toString('utf8');
      resolve(Result.ok({ status: response.statusCode ?? 0, headers: response.headers, body }));
    });
  });
}
