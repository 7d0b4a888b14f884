import type { ServerResponse } from 'node:http';
import { newRequestId } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { sendFault } from '@poppypond/web';
import type { RouteContext, Router } from '@poppypond/web';
import { Result } from 'true-myth';
import { REQUEST_ID_HEADER } from '../completions/completion-response.js';
import type { GatewayContext } from '../context.js';
import { DecisionRecorder } from '../explain/decision-recorder.js';
import { dispatch, callAtMostOnce } from './dispatch-call.js';
import type { ServiceResponse } from './dispatch-call.js';
import { callLabels, readRequest, resolveCall } from './resolve-call.js';

function answer(
  context: GatewayContext,
  response: ServerResponse,
  recorder: DecisionRecorder,
  result: Result<ServiceResponse, Fault>,
): void {
  const headers = { [REQUEST_ID_HEADER]: recorder.requestId };
  const code = result.isOk ? 'ok' : result.error.code;
  if (result.isErr) sendFault(response, result.error, recorder.requestId, headers);
  else if (!response.destroyed) {
    response.writeHead(result.value.status, {
      ...headers,
      'content-type': result.value.contentType,
    });
    response.end(result.value.body);
  }
  context.metrics.count('requests.done', 1, { code });
  const detail = result.isErr ? result.error.detail : '';
  recorder.record({ kind: result.isOk ? 'finish' : 'refuse', choice: code, state: { detail } });
}

async function handle(context: GatewayContext, route: RouteContext): Promise<void> {
  const { clock, settings, configuration, decisions } = context;
  const id = newRequestId(settings.host, clock.wallMs());
  const recorder = new DecisionRecorder(decisions, clock, id, configuration.current.revision, {});
  const abort = new AbortController();
  route.response.once('close', () => {
    abort.abort();
  });
  const read = await readRequest(context, id, route);
  if (read.isErr) return answer(context, route.response, recorder, Result.err(read.error));
  recorder.labels = callLabels(read.value);
  const call = resolveCall(context, read.value);
  if (call.isErr) return answer(context, route.response, recorder, Result.err(call.error));
  recorder.rule = call.value.rule;
  const result = call.value.runsAtMostOnce
    ? await callAtMostOnce(context, call.value, recorder)
    : await dispatch(context, call.value, recorder, abort.signal);
  answer(context, route.response, recorder, result);
}

/** Registers `/services/:name/*`, which forwards calls to plain services. */
export function addServiceRoutes(router: Router, context: GatewayContext): void {
  const onCall = async (route: RouteContext): Promise<void> => {
    const onEnd = context.lifecycle.begin();
    route.response.once('close', onEnd);
    await handle(context, route);
  };
  router.on('ANY', '/services/:name/*', onCall);
}
