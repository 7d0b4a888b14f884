import { createHash } from 'node:crypto';
import { callService } from '@poppypond/backend';
import type { ServiceEnd } from '@poppypond/backend';
import { fault } from '@poppypond/core';
import type { Fault, Milliseconds } from '@poppypond/core';
import type { Claim } from '@poppypond/state';
import { Result } from 'true-myth';
import type { GatewayContext } from '../context.js';
import type { DecisionRecorder } from '../explain/decision-recorder.js';
import { SAFE_METHODS } from './resolve-call.js';
import type { ResolvedCall } from './resolve-call.js';
import type { ServiceReplica } from './service-directory.js';

/** Complete response of a replica. */
export type ServiceResponse = Extract<ServiceEnd, { readonly kind: 'answered' }>;

const RETRY_AFTER_MS: Milliseconds = 1000;

/** Fault for a quarantined call: of unknown outcome if an earlier attempt may have run it. */
function holdFault(held: Fault, hasRun: boolean): Fault {
  return hasRun ? fault('outcome_unknown', held.detail) : held;
}

/** Updates a replica's health from the end of a call and the backoff that it may request. */
function updateHealth(
  { health }: ServiceReplica,
  end: ServiceEnd,
  isAborted: boolean,
  nowMs: Milliseconds,
): void {
  const backoffMs = end.kind === 'unknown' ? undefined : end.backoffMs;
  if (backoffMs !== undefined) health.onBackoffRequested(backoffMs, nowMs);
  else if (end.kind === 'answered') health.onSuccess();
  if (end.kind === 'answered') return;
  if (isAborted) health.onInconclusiveEnd();
  else health.onFailure(nowMs);
}

/**
 * Calls replicas until one responds. A call is retried only if it was not run or if its method is
 * safe to repeat.
 */
export async function dispatch(
  context: GatewayContext,
  call: ResolvedCall,
  recorder: DecisionRecorder,
  signal: AbortSignal,
): Promise<Result<ServiceResponse, Fault>> {
  const triedReplicas = new Set<string>();
  let hasRun = false;
  const isSafe = SAFE_METHODS.has(call.method);
  const head = [call.caller.workspace, call.method, call.service, call.pathAndQuery];
  const ends = context.quarantine.track({ head, body: call.bytes });
  context.retries.onFirstAttempt();
  for (;;) {
    const remainingMs = call.deadlineMs - context.clock.monotonicMs();
    if (remainingMs <= 0) return Result.err(fault('wait_expired', '', { rule: call.rule }));
    const held = ends.checkHold();
    if (held) return Result.err(holdFault(held, hasRun));
    const replica = context.services.choose(call.service, call.members, triedReplicas);
    if (!replica) {
      const detail = triedReplicas.size > 0 ? 'every available replica was tried' : '';
      const backoffMs = context.services.remainingBackoffMs(call.service, call.members);
      const retryAfterMs = Math.max(RETRY_AFTER_MS, backoffMs ?? 0);
      return Result.err(fault('no_backend', detail, { rule: call.rule, retryAfterMs }));
    }
    const { name, spec } = replica.server.object;
    recorder.record({ kind: 'place', choice: name, state: { outstanding: replica.outstanding } });
    replica.outstanding += 1;
    ends.begin();
    replica.health.onAttempt(context.clock.monotonicMs());
    const end = await callService({
      method: call.method,
      url: `${spec.url}/${call.pathAndQuery}`,
      requestId: call.id,
      contentType: call.contentType,
      body: call.bytes,
      timeoutMs: remainingMs,
      signal,
      mayRepeat: isSafe,
    });
    replica.outstanding -= 1;
    updateHealth(replica, end, signal.aborted, context.clock.monotonicMs());
    if (end.kind === 'answered') {
      ends.onServed();
      return Result.ok(end);
    }
    if (end.kind === 'unknown') {
      hasRun = true;
      await ends.onResponseCut(name, spec.url);
    }
    const mayRepeat = (end.kind === 'not_run' || isSafe) && !signal.aborted;
    if (!mayRepeat || !context.retries.tryTake()) {
      const code = end.kind === 'unknown' ? 'outcome_unknown' : 'retries_spent';
      return Result.err(fault(code, end.detail, { rule: call.rule }));
    }
    recorder.record({ kind: 'retry', choice: 'again', state: { server: name, why: end.detail } });
    triedReplicas.add(name);
  }
}

function requestHash(call: ResolvedCall): string {
  const hash = createHash('sha256');
  hash.update(`${call.service}\n${call.method}\n${call.pathAndQuery}\n`);
  return hash.update(call.bytes).digest('hex');
}

/**
 * Records the outcome of a claimed call. A call of unknown outcome stays claimed and is never run
 * again.
 */
function recordOutcome(
  context: GatewayContext,
  claim: Claim,
  result: Result<ServiceResponse, Fault>,
): void {
  if (result.isOk) {
    const { status, contentType, body } = result.value;
    context.ledger.recordRan(claim, { status, contentType, body });
  } else if (result.error.code !== 'outcome_unknown') {
    context.ledger.recordNotRun(claim);
  }
}

/**
 * Runs a call at most once for its idempotency key. Returns the recorded response if an earlier
 * call with the key has run.
 */
export async function callAtMostOnce(
  context: GatewayContext,
  call: ResolvedCall,
  recorder: DecisionRecorder,
): Promise<Result<ServiceResponse, Fault>> {
  const key = call.headers.idempotencyKey ?? '';
  const claimed = await context.ledger.claim(call.caller.workspace, key, requestHash(call));
  if (claimed.isErr) return Result.err({ ...claimed.error, rule: call.rule });
  if (claimed.value.kind === 'ran_before') {
    recorder.record({ kind: 'admit', choice: 'ran_before' });
    return Result.ok({ kind: 'answered', ...claimed.value.answer });
  }
  // Continues after the caller disconnects, so that the outcome is known.
  const { signal } = new AbortController();
  const result = await dispatch(context, call, recorder, signal);
  recordOutcome(context, claimed.value.claim, result);
  return result;
}
