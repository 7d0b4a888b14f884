import type { IncomingMessage, ServerResponse } from 'node:http';
import { fault, newRequestId } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { requestCost } from '@poppypond/policy';
import { readBody, sendFault } from '@poppypond/web';
import type { Router } from '@poppypond/web';
import { Result } from 'true-myth';
import { authenticate } from '../callers/authenticate.js';
import { readCallerHeaders } from '../callers/caller-headers.js';
import type { GatewayContext } from '../context.js';
import { DecisionRecorder } from '../explain/decision-recorder.js';
import { runGroup } from '../groups/group-run.js';
import { checkCanFinish, resolveRequest, trafficLabels } from './admit.js';
import { REQUEST_ID_HEADER, StreamedResponse, BufferedResponse } from './completion-response.js';
import type { AdmittedRequest, CompletionRequest } from './completion-request.js';
import { CompletionRun } from './completion-run.js';
import { parseCompletionBody } from './request-body.js';
import type { CompletionStyle } from './request-body.js';

const MS_PER_SECOND = 1000;
const STOPPING_RETRY_AFTER_MS = 1000;

async function readRequest(
  context: GatewayContext,
  style: CompletionStyle,
  id: string,
  request: IncomingMessage,
): Promise<Result<CompletionRequest, Fault>> {
  const { settings, clock, lifecycle, configuration } = context;
  const arrivedAtMs = clock.monotonicMs();
  if (!lifecycle.acceptsRequests) {
    return Result.err(fault('stopping', '', { retryAfterMs: STOPPING_RETRY_AFTER_MS }));
  }
  if (configuration.current.revision === 0 || context.isIsolated()) {
    return Result.err(fault('not_ready', '', { retryAfterMs: STOPPING_RETRY_AFTER_MS }));
  }
  const caller = authenticate(request, configuration.current);
  if (caller.isErr) return Result.err(caller.error);
  const headers = readCallerHeaders(request);
  if (headers.isErr) return Result.err(headers.error);
  const read = await readBody(request, settings.maxBodyBytes, settings.bodyTimeoutMs);
  if (read.isErr) return Result.err(read.error);
  const bytes = read.value;
  return parseCompletionBody(style, bytes.toString('utf8')).map((body) => ({
    id,
    style,
    caller: caller.value,
    headers: headers.value,
    bytes,
    body,
    arrivedAtMs,
  }));
}

function refuse(
  context: GatewayContext,
  response: ServerResponse,
  recorder: DecisionRecorder,
  refusal: Fault,
): void {
  sendFault(response, refusal, recorder.requestId, { [REQUEST_ID_HEADER]: recorder.requestId });
  context.metrics.count('requests.done', 1, { code: refusal.code });
  recorder.rule ??= refusal.rule;
  const state = {
    detail: refusal.detail,
    path: refusal.path ?? '',
    retryAfterMs: Math.round(refusal.retryAfterMs ?? 0),
  };
  recorder.record({ kind: 'refuse', choice: refusal.code, state });
}

async function runAdmitted(
  context: GatewayContext,
  request: AdmittedRequest,
  response: ServerResponse,
  recorder: DecisionRecorder,
): Promise<void> {
  const units = requestCost(request.promptTokens, request.body.maxTokens);
  const late = checkCanFinish(context, request);
  if (late) return refuse(context, response, recorder, { ...late, rule: request.rule });
  await context.shares.prepare(request.budgets, units);
  const now = context.clock.monotonicMs();
  const charge = context.shares.budgets.charge(request.budgets, units, now);
  if (charge.isErr) {
    return refuse(context, response, recorder, { ...charge.error, rule: request.rule });
  }
  const metadata = {
    requestId: request.id,
    model: request.body.model,
    style: request.style,
    created: Math.floor(context.clock.wallMs() / MS_PER_SECOND),
  };
  const answer = request.body.isStream
    ? new StreamedResponse(response, metadata)
    : new BufferedResponse(response, metadata);
  const run = new CompletionRun(context, request, answer, recorder);
  response.once('close', () => {
    if (!response.writableFinished) run.onCallerDisconnected();
  });
  if (response.destroyed) run.onCallerDisconnected();
  await run.run(charge.value, request.needsGroup ? () => runGroup(run) : undefined);
}

async function handle(
  context: GatewayContext,
  style: CompletionStyle,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const { clock, settings, configuration, decisions } = context;
  const id = newRequestId(settings.host, clock.wallMs());
  const { revision } = configuration.current;
  const recorder = new DecisionRecorder(decisions, clock, id, revision, {});
  const read = await readRequest(context, style, id, request);
  if (read.isErr) return refuse(context, response, recorder, read.error);
  recorder.labels = trafficLabels(read.value);
  const resolved = resolveRequest(context, read.value);
  if (resolved.isErr) return refuse(context, response, recorder, resolved.error);
  recorder.rule = resolved.value.rule;
  recorder.labels = { ...recorder.labels, class: resolved.value.className };
  await runAdmitted(context, resolved.value, response, recorder);
}

/** Registers `/v1/completions` and `/v1/chat/completions`. */
export function addCompletionRoutes(router: Router, context: GatewayContext): void {
  const route = (path: string, style: CompletionStyle) => {
    router.on('POST', path, async ({ request, response }) => {
      const onEnd = context.lifecycle.begin();
      response.once('close', onEnd);
      await handle(context, style, request, response);
    });
  };
  route('/v1/completions', 'text');
  route('/v1/chat/completions', 'chat');
}
