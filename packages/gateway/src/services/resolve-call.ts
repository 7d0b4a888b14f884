import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import { resolveTraffic } from '@poppypond/objects';
import type { Resolution } from '@poppypond/objects';
import { readBody } from '@poppypond/web';
import type { RouteContext } from '@poppypond/web';
import { Result } from 'true-myth';
import { authenticate } from '../callers/authenticate.js';
import type { Caller } from '../callers/authenticate.js';
import { readCallerHeaders } from '../callers/caller-headers.js';
import type { CallerHeaders } from '../callers/caller-headers.js';
import type { GatewayContext } from '../context.js';

/** A parsed and authenticated call to a plain service. */
export interface ServiceRequest {
  readonly id: string;
  readonly service: string;
  readonly pathAndQuery: string;
  readonly method: string;
  readonly contentType: string;
  readonly caller: Caller;
  readonly headers: CallerHeaders;
  readonly bytes: Buffer;
  readonly arrivedAtMs: Milliseconds;
}

/** A call with the rule that applies to it and what follows from the rule. */
export interface ResolvedCall extends ServiceRequest {
  readonly resolution: Resolution;
  readonly rule: string;
  readonly deadlineMs: Milliseconds;
  readonly runsAtMostOnce: boolean;
  readonly members: ReadonlySet<string>;
}

/** Methods whose calls are safe to repeat. */
export const SAFE_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const DEFAULT_TIME_LIMIT_MS: Milliseconds = 30_000;
const STOPPING_RETRY_AFTER_MS: Milliseconds = 1000;
const MAX_SERVICE_BODY_BYTES = 1_000_000;

/** Reads and authenticates a call. */
export async function readRequest(
  context: GatewayContext,
  id: string,
  route: RouteContext,
): Promise<Result<ServiceRequest, Fault>> {
  const { request, params, query } = route;
  const arrivedAtMs = context.clock.monotonicMs();
  if (!context.lifecycle.acceptsRequests) {
    return Result.err(fault('stopping', '', { retryAfterMs: STOPPING_RETRY_AFTER_MS }));
  }
  const caller = authenticate(request, context.configuration.current);
  if (caller.isErr) return Result.err(caller.error);
  const headers = readCallerHeaders(request);
  if (headers.isErr) return Result.err(headers.error);
  const body = await readBody(request, MAX_SERVICE_BODY_BYTES, context.settings.bodyTimeoutMs);
  const search = query.toString();
  return body.map((bytes) => ({
    id,
    service: params['name'] ?? '',
    pathAndQuery: `${params['rest'] ?? ''}${search === '' ? '' : `?${search}`}`,
    method: request.method ?? 'GET',
    contentType: request.headers['content-type'] ?? 'application/octet-stream',
    caller: caller.value,
    headers: headers.value,
    bytes,
    arrivedAtMs,
  }));
}

/** Labels that rule selectors match. */
export function callLabels(request: ServiceRequest) {
  return {
    ...request.headers.labels,
    ...request.caller.labels,
    service: request.service,
    method: request.method,
  };
}

/** Finds the rule that applies to a call, or returns the fault that refuses it. */
export function resolveCall(
  context: GatewayContext,
  request: ServiceRequest,
): Result<ResolvedCall, Fault> {
  const configuration = context.configuration.current;
  const isKnown = configuration
    .list('backend-server')
    .some((server) => server.object.spec.service === request.service);
  if (!isKnown) return Result.err(fault('unknown_service', request.service));
  const resolution = resolveTraffic(configuration, {
    labels: callLabels(request),
    promptTokens: 0,
  });
  if (!resolution) return Result.err(fault('no_rule', ''));
  const rule = `${resolution.rule.object.name}@${String(resolution.rule.revision)}`;
  if (resolution.rule.object.spec.action === 'refuse') {
    return Result.err(fault('refused_by_rule', '', { rule }));
  }
  const spec = resolution.requestClass?.object.spec;
  const runsAtMostOnce = spec?.runsAtMostOnce === true && !SAFE_METHODS.has(request.method);
  if (runsAtMostOnce && request.headers.idempotencyKey === undefined) {
    return Result.err(fault('key_missing', '', { rule, path: 'idempotency-key' }));
  }
  const members = resolution.pools.flatMap((pool) => configuration.poolMembers(pool.object.name));
  const timeLimitMs = request.headers.timeLimitMs ?? spec?.timeLimitMs ?? DEFAULT_TIME_LIMIT_MS;
  return Result.ok({
    ...request,
    resolution,
    rule,
    runsAtMostOnce,
    deadlineMs: request.arrivedAtMs + timeLimitMs,
    members: new Set(members.map((server) => server.object.name)),
  });
}
