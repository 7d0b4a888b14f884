import type { Milliseconds } from '@poppypond/core';
import { callHttp, readRetryAfter } from '@poppypond/web';

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  readonly url: string;
  readonly requestId: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly timeoutMs: Milliseconds;
  readonly signal: AbortSignal;
  /** Whether the call may be repeated; one that may not uses a new connection. */
  readonly mayRepeat: boolean;
}

/** What a service may report about itself in a response. */
interface ServiceNotice {
  /**
   * Time for which this host must send the service no calls; undefined if the service requests no
   * backoff.
   */
  readonly backoffMs?: Milliseconds | undefined;
}

/**
 * How a call to a plain service ended. `not_run`: it certainly did not run. `unknown`: it may have
 * run.
 */
export type ServiceEnd =
  | ({
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    } & ServiceNotice)
  | ({ readonly kind: 'not_run'; readonly detail: string } & ServiceNotice)
  | { readonly kind: 'unknown'; readonly detail: string };

/** The header by which a service confirms that it refused a call without running it. */
const NOT_RUN_HEADER = 'x-not-run';
const UNAVAILABLE = 503;

/** Calls a plain service once. */
export async function callService(call: ServiceCall): Promise<ServiceEnd> {
  const reply = await callHttp({
    method: call.method,
    url: call.url,
    headers: { 'content-type': call.contentType, 'x-request': call.requestId },
    body: call.body,
    timeoutMs: call.timeoutMs,
    signal: call.signal,
    usesNewConnection: !call.mayRepeat,
  });
  if (reply.isErr) {
    const { mayHaveArrived, detail } = reply.error;
    return { kind: mayHaveArrived ? 'unknown' : 'not_run', detail };
  }
  const { status, headers, body } = reply.value;
  const backoffMs = status === UNAVAILABLE ? readRetryAfter(headers, Date.now()) : undefined;
  if (headers[NOT_RUN_HEADER] !== undefined) {
    return {
      kind: 'not_run',
      detail: `refused with status ${String(status)}`,
      backoffMs,
    };
  }
  const contentType = headers['content-type'] ?? 'application/octet-stream';
  return { kind: 'answered', status, contentType, body, backoffMs };
}
