import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import type { AttemptUse } from './attempt-use.js';
import type { BackendServer } from './backend-server.js';
import { passTimeMs } from './engine-times.js';
import { streamValue } from './stream-worth.js';

/** What is believed about one engine at one moment. */
export interface EngineLoad {
  readonly server: BackendServer;
  /** Requests whose answers it writes or will write. */
  readonly writers: number;
  /** Writers whose pause a read of medium length would overrun. */
  readonly latencySensitiveWriters: number;
  /** What the writers' answers are worth together. */
  readonly writersValue: number;
  /** Tokens that its writers read at every step. */
  readonly contextTokens: number;
  /** Tokens in its memory, those held for others included. */
  readonly usedMemoryTokens: number;
  /** Time of a pass without reading; 0 while nothing writes. */
  readonly passMs: Milliseconds;
  /** How long one more request would wait for a place; 0 where one is free. */
  readonly slotWaitMs: Milliseconds;
  /** Reading that it has before it, with the passes between. */
  readonly pendingPrefillMs: Milliseconds;
  /** The reading that the next pass may take in without a late event for any writer. */
  readonly slackMs: Milliseconds;
  /** How long it is avoided still where there are others; 0 where it is not. */
  readonly avoidedMs: Milliseconds;
}

/** Part of the allowed pause that is planned with; the rest covers what was not foreseen. */
const PLANNED_GAP_SHARE = 0.85;
/** Writers that allow shorter pauses than this count as impatient. */
const LATENCY_SENSITIVE_GAP_MS: Milliseconds = 300;
/** Word of the end of a read is sent only where it took this long; the end of others is foreseen. */
export const MIN_ANNOUNCED_PREFILL_MS: Milliseconds = 60;
/** A read whose end was not told is taken to be over after this multiple of its time, and a while. */
const PREFILL_OVERRUN_FACTOR = 1.5;
const PREFILL_OVERRUN_GRACE_MS: Milliseconds = 300;
/** What a read is taken to need still that should be over. */
const OVERDUE_PREFILL_MS: Milliseconds = 60;
/** Stands for "no writer to disturb": longer than any read that is worth placing. */
const IDLE_SLACK_MS: Milliseconds = 60_000;

/** Tokens that the engine holds for prompts that others write. */
function reservedTokensOn(engineId: string, uses: ReadonlySet<AttemptUse>): number {
  let tokens = 0;
  for (const { held } of uses) {
    for (const part of held) if (part.engineId === engineId) tokens += part.tokens;
  }
  return tokens;
}

/**
 * Whether an attempt's prompt is taken to be read still. Its first event tells the end, but for
 * short reads, which are over before word of it would be of use.
 */
function isStillPrefilling(use: AttemptUse, nowMs: Milliseconds): boolean {
  if (!use.isPrefilling) return false;
  return nowMs < use.placedAtMs + use.partMs * PREFILL_OVERRUN_FACTOR + PREFILL_OVERRUN_GRACE_MS;
}

/**
 * Reading that lies before an engine: reads follow each other, each with a pass of the writers.
 * One that is over time by the plan takes a little longer yet.
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
    const beginsAtMs = isFirst ? use.placedAtMs : Math.max(freeAtMs, use.placedAtMs);
    isFirst = false;
    freeAtMs = beginsAtMs + use.partMs + Math.min(passMs, use.partMs);
    const isLate =
      freeAtMs < nowMs && use.partMs >= MIN_ANNOUNCED_PREFILL_MS && isStillPrefilling(use, nowMs);
    if (isLate) freeAtMs = nowMs + OVERDUE_PREFILL_MS;
  }
  return Math.max(0, freeAtMs - nowMs);
}

/**
 * Whether a load stays as it is while no attempt begins or ends on its engine: nothing is read there
 * and nothing that was to be over by now may still be.
 */
export function isTimeInvariant(
  { pendingPrefillMs: pendingReadMs, avoidedMs }: EngineLoad,
  uses: ReadonlySet<AttemptUse>,
  nowMs: Milliseconds,
): boolean {
  if (pendingReadMs > 0 || avoidedMs > 0) return false;
  for (const use of uses) {
    if (use.placedAtMs > nowMs) return false;
    if (use.partMs >= MIN_ANNOUNCED_PREFILL_MS && isStillPrefilling(use, nowMs)) return false;
  }
  return true;
}

/** Time until a place is free for one more, by the usual length of answers. */
function slotWait(figures: EngineFigures, writers: number, passMs: Milliseconds): Milliseconds {
  const before = writers - figures.slots + 1;
  if (before <= 0) return 0;
  const answerMs = (figures.usualAnswerTokens / figures.stepsPerPass) * passMs;
  return (before * answerMs) / figures.slots;
}

/** What the writers of an engine take up together. */
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
    latencySensitiveWriters: latencySensitiveWriters,
    contextTokens,
    writersValue: writersValue,
    shortestGapMs,
  };
}

/** What follows for one engine from all `uses` that concern it, in the order they became known. */
export function engineLoad(
  server: BackendServer,
  figures: EngineFigures,
  uses: ReadonlySet<AttemptUse>,
  { nowMs, avoidedMs }: { readonly nowMs: Milliseconds; readonly avoidedMs: Milliseconds },
): EngineLoad {
  const { shortestGapMs, ...sums } = sumWriters(server.id, uses);
  const { writers, contextTokens } = sums;
  const passMs = writers > 0 ? passTimeMs(figures, writers, contextTokens) : 0;
  const allowedMs = writers > 0 ? shortestGapMs * PLANNED_GAP_SHARE : IDLE_SLACK_MS;
  const pendingReadMs = pendingPrefill(uses, passMs, nowMs);
  return {
    server,
    ...sums,
    usedMemoryTokens: contextTokens + reservedTokensOn(server.id, uses),
    passMs,
    slotWaitMs: slotWait(figures, writers, passMs),
    pendingPrefillMs: pendingReadMs,
    slackMs: allowedMs - passMs - pendingReadMs,
    avoidedMs,
  };
}
