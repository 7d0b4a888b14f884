import { Agent, request as startHttp } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { Agent as TlsAgent, request as startHttps } from 'node:https';
import type { Milliseconds } from '@poppypond/core';
import { Result } from 'true-myth';

/** Why an HTTP call gave no answer. */
export interface TransportFault {
  readonly reason: 'connect' | 'timeout' | 'closed' | 'cancelled';
  /** False only where not a byte of the call can have reached the other side. */
  readonly mayHaveArrived: boolean;
  readonly detail: string;
}

/** An HTTP call. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE' | (string & {});
  readonly url: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** Limit for the answer's headers, and for the whole answer in `callHttp`. */
  readonly timeoutMs: Milliseconds;
  readonly signal?: AbortSignal;
  /**
   * Takes a new connection. A kept one may be closed by the other side at the moment it is used,
   * and then nobody knows whether the call arrived.
   */
  readonly usesNewConnection?: boolean;
}

/** A whole answer. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

const MAX_SOCKETS = 512;
/** Shorter than a server of ours keeps an idle connection. */
const IDLE_TIMEOUT_MS = 30_000;
const AGENT_OPTIONS = {
  keepAlive: true,
  maxSockets: MAX_SOCKETS,
  scheduling: 'lifo',
  timeout: IDLE_TIMEOUT_MS,
} as const;
const agent = new Agent(AGENT_OPTIONS);
/** Trusts what Node trusts; `NODE_EXTRA_CA_CERTS` adds the operators' own authority. */
const tlsAgent = new TlsAgent(AGENT_OPTIONS);

/** Closes the connections that are kept for reuse. */
export function closeIdleConnections(): void {
  agent.destroy();
  tlsAgent.destroy();
}

/** Starts a call and returns when the answer's headers are here; the caller reads the stream. */
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
    outgoing.once('response', (response) => {
      clearTimeout(timer);
      resolve(Result.ok(response));
    });
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      const detail = error.message;
      resolve(Result.err({ reason: reasonOf(), mayHaveArrived: isConnected, detail }));
    });
    outgoing.end(call.body);
  });
}

/** Makes a call and reads the whole answer. */
export async function callHttp(call: HttpCall): Promise<Result<HttpResponse, TransportFault>> {
  const started = performance.now();
  const opened = await openHttp(call);
  if (opened.isErr) return Result.err(opened.error);
  const response = opened.value;
  const remainingMs = Math.max(1, call.timeoutMs - (performance.now() - started));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    const fail = (reason: TransportFault['reason']) => {
      clearTimeout(timer);
      resolve(Result.err({ reason, mayHaveArrived: true, detail: `answer cut (${reason})` }));
    };
    const timer = setTimeout(() => {
      response.destroy();
      fail('timeout');
    }, remainingMs);
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.once('error', () => {
      fail('closed');
    });
    response.once('close', () => {
      if (!response.complete) fail('closed');
    });
    response.once('end', () => {
      clearTimeout(timer);
      const body = Buffer.concat(chunks).toString('utf8');
      resolve(Result.ok({ status: response.statusCode ?? 0, headers: response.headers, body }));
    });
  });
}
