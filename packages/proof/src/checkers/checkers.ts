import { isResultName, outcomeOf } from '@poppypond/core';
import type {
  AcceptedRevision,
  CompletionCall,
  ObservedRevision,
  ServiceCall,
  ServiceRun,
} from '../history.js';

/** Violations that a checker found; empty if the guarantee held. */
export type Violations = readonly string[];

function isNotRun(code: string): boolean {
  return isResultName(code) && outcomeOf(code) === 'not_run';
}

/**
 * Checks that every call received its final response within its limit plus `graceMs`. Skips calls
 * that their callers cancelled, and calls to gateways that were killed or suspended meanwhile, as
 * these can't receive one.
 */
export function checkWithinLimit(
  calls: readonly CompletionCall[],
  faultedGateways: ReadonlySet<string>,
  graceMs: number,
): Violations {
  return calls.flatMap((call) => {
    if (call.isCancelled || faultedGateways.has(call.gateway)) return [];
    const tookMs = call.endedAtMs - call.startedAtMs;
    if (call.code === 'lost') return [`${call.requestId}: no final response`];
    if (tookMs <= call.limitMs + graceMs) return [];
    return [
      `${call.requestId}: took ${tookMs.toFixed(0)} ms with a limit of ${String(call.limitMs)} ms`,
    ];
  });
}

/**
 * Checks that each caller that received `ok` has the complete answer to its own request, and that
 * all others have at most the start of it.
 */
export function checkCompleteAnswers(calls: readonly CompletionCall[]): Violations {
  return calls.flatMap((call) => {
    if (call.code === 'ok' && call.text !== call.expected) {
      return [
        `${call.requestId}: received ok with ${String(call.text.length)} of ${String(call.expected.length)} characters`,
      ];
    }
    return call.expected.startsWith(call.text)
      ? []
      : [
          `${call.requestId}: received text that is not the start of its answer (foreign or repeated)`,
        ];
  });
}

/** Checks that no request ran whose caller received a code that says that it did not run. */
export function checkNotRun(
  calls: readonly { readonly requestId: string; readonly code: string }[],
  ran: ReadonlySet<string>,
): Violations {
  return calls.flatMap(({ requestId, code }) =>
    isNotRun(code) && ran.has(requestId) ? [`${requestId}: received ${code} but was run`] : [],
  );
}

/**
 * Checks that each key ran at most once, and that each receipt is that of the single run of its
 * key.
 */
export function checkAtMostOnce(
  calls: readonly ServiceCall[],
  runs: readonly ServiceRun[],
): Violations {
  const runsByKey = new Map<string, ServiceRun[]>();
  for (const run of runs) runsByKey.set(run.body, [...(runsByKey.get(run.body) ?? []), run]);
  const repeatedRuns = [...runsByKey].flatMap(([key, found]) =>
    found.length > 1 ? [`${key}: ran ${String(found.length)} times`] : [],
  );
  const wrongReceipts = calls.flatMap(({ key, code, receipt }) => {
    const run = runsByKey.get(key)?.[0];
    if (code !== 'ok') return [];
    return run?.receipt === receipt
      ? []
      : [`${key}: receipt ${String(receipt)} is not that of its run`];
  });
  return [...repeatedRuns, ...wrongReceipts];
}

/**
 * Checks that the revision of a host never decreases within an incarnation, and that each accepted
 * revision is active on every host `withinMs` after its acceptance.
 */
export function checkRevisions(
  seen: readonly ObservedRevision[],
  accepted: readonly AcceptedRevision[],
  withinMs: number,
): Violations {
  const violations: string[] = [];
  const lastByIncarnation = new Map<string, ObservedRevision>();
  for (const observation of seen) {
    const run = `${observation.host}/${observation.incarnation}`;
    const before = lastByIncarnation.get(run);
    if (before && observation.revision < before.revision) {
      violations.push(
        `${run}: revision went from ${String(before.revision)} to ${String(observation.revision)}`,
      );
    }
    lastByIncarnation.set(run, observation);
  }
  for (const { atMs, revision } of accepted) {
    const late = seen.filter((one) => one.atMs > atMs + withinMs && one.revision < revision);
    for (const { host, atMs: lateAtMs } of late) {
      violations.push(
        `${host}: revision ${String(revision)} is not active after ${(lateAtMs - atMs).toFixed(0)} ms`,
      );
    }
  }
  return violations;
}

/** Checks that no work started on a server more than `allowedMs` after it began to leave. */
export function checkLeaving(
  startTimesMs: readonly number[],
  leavingSinceMs: number,
  allowedMs: number,
): Violations {
  return startTimesMs
    .filter((startMs) => startMs > leavingSinceMs + allowedMs)
    .map(
      (startMs) =>
        `work started ${(startMs - leavingSinceMs).toFixed(0)} ms after the server began to leave`,
    );
}

/** Checks that no engine holds memory after all requests have ended. */
export function checkMemory(heldTokens: ReadonlyMap<string, number>): Violations {
  return [...heldTokens].flatMap(([engine, tokens]) =>
    tokens === 0 ? [] : [`${engine}: still holds ${String(tokens)} tokens`],
  );
}

/**
 * Checks that no engine that checks fencing tokens executes a command with an older token after one
 * with a newer token.
 */
export function checkFences(fencesByEngine: ReadonlyMap<string, readonly number[]>): Violations {
  return [...fencesByEngine].flatMap(([engine, fences]) =>
    fences.flatMap((fence, index) => {
      const before = fences[index - 1] ?? 0;
      return fence < before
        ? [
            `${engine}: executed a command with fencing token ${String(fence)} after ${String(before)}`,
          ]
        : [];
    }),
  );
}

/** Checks that at least one engine held the model at every observation. */
export function checkNoGap(holderCounts: readonly number[]): Violations {
  const gaps = holderCounts.filter((holders) => holders === 0).length;
  return gaps === 0 ? [] : [`no engine held the model at ${String(gaps)} observations`];
}

/** Checks that every call succeeded, which must hold during planned stops. */
export function checkNoErrors(calls: readonly CompletionCall[]): Violations {
  return calls.flatMap(({ requestId, code, startedAtMs, endedAtMs, expected }) => {
    if (code === 'ok') return [];
    const tookMs = Math.round(endedAtMs - startedAtMs);
    return [
      `${requestId}: ${code} after ${String(tookMs)} ms, ${String(expected.length)} characters expected`,
    ];
  });
}
