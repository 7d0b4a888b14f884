import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { AttemptUse } from './attempt-use.js';
import type { BackendServer } from './backend-server.js';
import { passTimeMs } from './engine-times.js';
import { streamValue } from './stream-value.js';

/** The load of one engine at one moment, as far as this process knows. */
export interface EngineLoad {
  readonly server: BackendServer;
  /** Number of requests whose answers the engine decodes or will decode. */
  readonly writers: number;
  /** Number of writers whose gap target a prefill of medium length would exceed. */
  readonly latencySensitiveWriters: number;
  /** Total value of the writers' answers. */
  readonly writersValue: number;
  /** Context tokens of all writers, which every decode step attends to. */
  readonly contextTokens: number;
  /** Tokens in the KV cache, including those reserved for answers that other engines decode. */
  readonly usedMemoryTokens: number;
  /** Time of a decode pass without prefill; 0 if there are no writers. */
  readonly passMs: Milliseconds;
  /** Time that one more request would wait for a slot; 0 if one is free. */
  readonly slotWaitMs: Milliseconds;
  /** Time until all pending prefill is done, including the decode passes in between. */
  readonly pendingPrefillMs: Milliseconds;
  /**
   * Prefill time, at the usual speed, that fits into the next pass without a late event for any
   * writer.
   */
  readonly slackMs: Milliseconds;
  /**
   * Remaining time for which other engines are preferred after a failure; 0 if the engine is not
   * avoided.
   */
  readonly avoidedMs: Milliseconds;
  /** Time that the engine takes, relative to its service's figures; 1 unless it is slow. */
  readonly slowdown: number;
}

/** State of an engine beside its attempts. */
export interface EngineState {
  readonly nowMs: Milliseconds;
  readonly avoidedMs: Milliseconds;
  readonly slowdown: number;
}

/** Share of the gap target that planning may use; the rest absorbs estimation errors. */
const PLANNED_GAP_SHARE = 0.85;
/** Writers with a shorter gap target than this count as latency-sensitive. */
const LATENCY_SENSITIVE_GAP_MS: Milliseconds = 300;
/**
 * The end of a prefill is announced to peers only if the prefill takes at least this long; the end
 * of a shorter one is estimated.
 */
export const MIN_ANNOUNCED_PREFILL_MS: Milliseconds = 60;
/**
 * A prefill without an announced end counts as done after this multiple of its estimated time plus
 * the grace period.
 */
const PREFILL_OVERRUN_FACTOR = 1.5;
const PREFILL_OVERRUN_GRACE_MS: Milliseconds = 300;
/** Assumed remaining time of a prefill that is overdue. */
const OVERDUE_PREFILL_MS: Milliseconds = 60;
/** Slack of an engine without writers: longer than any prefill that is worth placing. */
const IDLE_SLACK_MS: Milliseconds = 60_000;

/** Returns the tokens reserved on the engine for answers that other engines decode. */
function reservedTokensOn(engineId: string, uses: ReadonlySet<AttemptUse>): number {
  let tokens = 0;
  for (const { held } of uses) {
    for (const part of held) if (part.engineId === engineId) tokens += part.tokens;
  }
  return tokens;
}

/**
 * Whether the prefill of an attempt is assumed to be still running. The first event marks its end;
 * that of a short prefill is not announced, as it is over before the message would be of use.
 */
export function isStillPrefilling(use: AttemptUse, nowMs: Milliseconds): boolean {
  if (!use.isPrefilling) return false;
  return nowMs < use.placedAtMs + use.partMs * PREFILL_OVERRUN_FACTOR + PREFILL_OVERRUN_GRACE_MS;
}

/**
 * Returns the time until all prefills of an engine are done: they run one after another, each
 * followed by a decode pass. An overdue one is assumed to take `OVERDUE_PREFILL_MS` more.
 */
function pendingPrefill(
  uses: ReadonlySet<AttemptUse>,
  passMs: Milliseconds,
  nowMs: Milliseconds,
): Milliseconds {
  let freeAtMs = nowMs;
  let isFirst = true;
  for (const use of uses) {
    if (!use.isPrefilling) continue;
    const startsAtMs = isFirst ? use.placedAtMs : Math.max(freeAtMs, use.placedAtMs);
    isFirst = false;
    freeAtMs = startsAtMs + use.partMs + Math.min(passMs, use.partMs);
    const isLate =
      freeAtMs < nowMs && use.partMs >= MIN_ANNOUNCED_PREFILL_MS && isStillPrefilling(use, nowMs);
    if (isLate) freeAtMs = nowMs + OVERDUE_PREFILL_MS;
  }
  return Math.max(0, freeAtMs - nowMs);
}

/**
 * Whether a load stays the same until an attempt begins or ends on its engine: no prefill is
 * pending or may be overdue, and no suspicion is going to expire.
 */
export function isTimeInvariant(
  { pendingPrefillMs, avoidedMs }: EngineLoad,
  uses: ReadonlySet<AttemptUse>,
  nowMs: Milliseconds,
): boolean {
  if (pendingPrefillMs > 0 || avoidedMs > 0) return false;
  for (const use of uses) {
    if (use.placedAtMs > nowMs) return false;
    if (use.partMs >= MIN_ANNOUNCED_PREFILL_MS && isStillPrefilling(use, nowMs)) return false;
  }
  return true;
}

/**
 * Returns the estimated time until a slot is free for one more request, from the usual length of
 * answers.
 */
function slotWait(figures: EngineFigures, writers: number, passMs: Milliseconds): Milliseconds {
  const before = writers - figures.slots + 1;
  if (before <= 0) return 0;
  const answerMs = (figures.usualAnswerTokens / figures.stepsPerPass) * passMs;
  return (before * answerMs) / figures.slots;
}

/** Sums up the writers of an engine. */
function sumWriters(engineId: string, uses: ReadonlySet<AttemptUse>) {
  let writers = 0;
  let latencySensitiveWriters = 0;
  let contextTokens = 0;
  let writersValue = 0;
  let shortestGapMs = Number.POSITIVE_INFINITY;
  for (const use of uses) {
    if (use.writerId !== engineId) continue;
    writers += 1;
    contextTokens += use.contextTokens;
    writersValue += streamValue(use.contextTokens);
    if (use.gapAimMs < LATENCY_SENSITIVE_GAP_MS) latencySensitiveWriters += 1;
    shortestGapMs = Math.min(shortestGapMs, use.gapAimMs);
  }
  return {
    writers,
    latencySensitiveWriters,
    contextTokens,
    writersValue,
    shortestGapMs,
  };
}

/**
 * Computes the load of one engine from all `uses` that involve it, in the order in which they
 * became known. Figures and prefill times are those of the engine at its current speed.
 */
export function engineLoad(
  server: BackendServer,
  figures: EngineFigures,
  uses: ReadonlySet<AttemptUse>,
  { nowMs, avoidedMs, slowdown }: EngineState,
): EngineLoad {
  const { shortestGapMs, ...sums } = sumWriters(server.id, uses);
  const { writers, contextTokens } = sums;
  const passMs = writers > 0 ? passTimeMs(figures, writers, contextTokens) : 0;
  const allowedMs = writers > 0 ? shortestGapMs * PLANNED_GAP_SHARE : IDLE_SLACK_MS;
  const pendingPrefillMs = pendingPrefill(uses, passMs, nowMs);
  return {
    server,
    ...sums,
    usedMemoryTokens: contextTokens + reservedTokensOn(server.id, uses),
    passMs,
    slotWaitMs: slotWait(figures, writers, passMs),
    pendingPrefillMs,
    slackMs: (allowedMs - passMs - pendingPrefillMs) / slowdown,
    avoidedMs,
    slowdown,
  };
}
