import { isResultName, outcomeOf } from '@poppypond/core';
import type {
  AcceptedRevision,
  CompletionCall,
  ObservedRevision,
  ServiceCall,
  ServiceRun,
} from '../history.js';

/** What a checker found; empty where the promise held. */
export type Violations = readonly string[];

function isNotRun(code: string): boolean {
  return isResultName(code) && outcomeOf(code) === 'not_run';
}

/**
 * Every call had its final word within its limit and a grace. A call whose gateway was ended or
 * stopped under it can't get one.
 */
export function checkWithinLimit(
  calls: readonly CompletionCall[],
  faultedGateways: ReadonlySet<string>,
  graceMs: number,
): Violations {
  return calls.flatMap((call) => {
    if (call.isCancelled || faultedGateways.has(call.gateway)) return [];
    const tookMs = call.endedAtMs - call.startedAtMs;
    if (call.code === 'lost') return [`${call.requestId}: no final word`];
    if (tookMs <= call.limitMs + graceMs) return [];
    return [`${call.requestId}: took ${tookMs.toFixed(0)} of ${String(call.limitMs)} ms`];
  });
}

/** Whoever was told `ok` has the whole answer to its own request; others have at most its start. */
export function checkCompleteAnswers(calls: readonly CompletionCall[]): Violations {
  return calls.flatMap((call) => {
    if (call.code === 'ok' && call.text !== call.expected) {
      return [
        `${call.requestId}: told ok with ${String(call.text.length)} of ${String(call.expected.length)} characters`,
      ];
    }
    return call.expected.startsWith(call.text)
      ? []
      : [`${call.requestId}: foreign or repeated text`];
  });
}

/** Whoever was told not run was not run. */
export function checkNotRun(
  calls: readonly { readonly requestId: string; readonly code: string }[],
  ran: ReadonlySet<string>,
): Violations {
  return calls.flatMap(({ requestId, code }) =>
    isNotRun(code) && ran.has(requestId) ? [`${requestId}: told ${code} and was run`] : [],
  );
}

/** Each key ran at most once, and every receipt is that of its key's one run. */
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
    return run?.receipt === receipt ? [] : [`${key}: receipt ${String(receipt)} is not its own`];
  });
  return [...repeatedRuns, ...wrongReceipts];
}

/** A host's revision never falls, and each accepted revision is in force in time. */
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
        `${run}: went from ${String(before.revision)} to ${String(observation.revision)}`,
      );
    }
    lastByIncarnation.set(run, observation);
  }
  for (const { atMs, revision } of accepted) {
    const late = seen.filter((one) => one.atMs > atMs + withinMs && one.revision < revision);
    for (const { host, atMs: lateAtMs } of late) {
      violations.push(
        `${host}: without ${String(revision)} after ${(lateAtMs - atMs).toFixed(0)} ms`,
      );
    }
  }
  return violations;
}

/** No work started on a server that had been leaving for longer than the allowed time. */
export function checkLeaving(
  startTimesMs: readonly number[],
  leavingSinceMs: number,
  allowedMs: number,
): Violations {
  return startTimesMs
    .filter((startMs) => startMs > leavingSinceMs + allowedMs)
    .map(
      (startMs) => `started ${(startMs - leavingSinceMs).toFixed(0)} ms after it began to leave`,
    );
}

/** After everything has ended, no engine holds memory. */
export function checkMemory(heldTokens: ReadonlyMap<string, number>): Violations {
  return [...heldTokens].flatMap(([engine, tokens]) =>
    tokens === 0 ? [] : [`${engine}: still holds ${String(tokens)} tokens`],
  );
}

/** An engine that checks fencing tokens never follows an older order after a newer one. */
export function checkFences(fencesByEngine: ReadonlyMap<string, readonly number[]>): Violations {
  return [...fencesByEngine].flatMap(([engine, fences]) =>
    fences.flatMap((fence, index) => {
      const before = fences[index - 1] ?? 0;
      return fence < before ? [`${engine}: followed ${String(fence)} after ${String(before)}`] : [];
    }),
  );
}

/** At every look at least one engine held the model. */
export function checkNoGap(holdersSeen: readonly number[]): Violations {
  const gaps = holdersSeen.filter((holders) => holders === 0).length;
  return gaps === 0 ? [] : [`no engine held the model at ${String(gaps)} looks`];
}

/** During planned stops nobody got an error. */
export function checkNoErrors(calls: readonly CompletionCall[]): Violations {
  return calls.flatMap(({ requestId, code, startedAtMs, endedAtMs, expected }) => {
    if (code === 'ok') return [];
    const tookMs = Math.round(endedAtMs - startedAtMs);
    return [
      `${requestId}: ${code} after ${String(tookMs)} ms, ${String(expected.length)} letters due`,
    ];
  });
}
