import type { ServerResponse } from 'node:http';
import { RESULT_CODES } from '@poppypond/core';
import type { Fault, Json } from '@poppypond/core';

const MILLISECONDS_PER_SECOND = 1000;

/** Headers of a response, by name. */
export type ResponseHeaders = Readonly<Record<string, string>>;

/** Sends a JSON response. Does nothing if the response has begun or the connection is closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: Json,
  headers: ResponseHeaders = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...headers,
  });
  response.end(text);
}

/**
 * Returns a fault in the error format that common client libraries parse, extended by our own
 * fields.
 */
export function faultBody(fault: Fault, requestId?: string): { readonly [key: string]: Json } {
  const entry = RESULT_CODES[fault.code];
  return {
    error: {
      message: `${entry.meaning} ${fault.detail}`.trim(),
      type: entry.httpStatus < 500 ? 'invalid_request_error' : 'server_error',
      code: fault.code,
      param: fault.path ?? null,
      number: entry.number,
      outcome: entry.outcome,
      ...(fault.rule === undefined ? {} : { rule: fault.rule }),
      ...(fault.retryAfterMs === undefined ? {} : { retry_after_ms: fault.retryAfterMs }),
      ...(requestId === undefined ? {} : { request_id: requestId }),
    },
  };
}

/** Sends a fault as the response. `Retry-After` is in whole seconds, at least one. */
export function sendFault(
  response: ServerResponse,
  fault: Fault,
  requestId?: string,
  headers: ResponseHeaders = {},
): void {
  const retryAfter =
    fault.retryAfterMs === undefined
      ? {}
      : {
          'retry-after': String(
            Math.max(1, Math.ceil(fault.retryAfterMs / MILLISECONDS_PER_SECOND)),
          ),
        };
  sendJson(response, RESULT_CODES[fault.code].httpStatus, faultBody(fault, requestId), {
    ...headers,
    ...retryAfter,
  });
}
