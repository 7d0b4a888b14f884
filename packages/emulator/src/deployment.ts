import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';

/** A number that varies: lognormal around its mean, and never above `most`. */
export interface LognormalDistribution {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly most: number;
}

/** One kind of request, by what it asks for and what serving it is worth. */
export interface RequestKind {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: LognormalDistribution;
  /** Events of an answer. */
  readonly events: LognormalDistribution;
  /** The first event is due within this time of the first try. */
  readonly aimMs: Milliseconds;
  /** The longest pause between events with which an answer is still in time. */
  readonly gapAimMs: Milliseconds;
  /** Time after which a caller expects nothing more. */
  readonly timeoutMs: Milliseconds;
  /** Worth of an answer of mean length that is in time, and of one that is late. */
  readonly inTimeValue: number;
  readonly lateValue: number;
}

/** Engines and those who call them. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly figures: EngineFigures;
  readonly kinds: readonly RequestKind[];
}

/** For a while, requests of some kinds come more or less often. */
export interface Burst {
  readonly kinds: readonly string[];
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly factor: number;
}

/** For a while an engine turns away what it is sent and asks for rest, or says in its answers that it leaves. */
export interface EngineNotice {
  readonly engineId: string;
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly kind: 'rests' | 'leaves' | 'limits';
}

/** The name of an engine; engines are filled in the order of their names. */
export function engineIdOf(index: number): string {
  return `engine-${String(index).padStart(3, '0')}`;
}

/** What happens on a day beside the usual. */
export interface Scenario {
  readonly durationMs: Milliseconds;
  readonly bursts: readonly Burst[];
  /** All hosts are killed at these instants, and start again knowing nothing. */
  readonly restartsAtMs: readonly Milliseconds[];
  readonly notices: readonly EngineNotice[];
}

/** What a request is worth at most, in answers of its kind's mean length. */
const MAX_RELATIVE_VALUE = 4;
const FIXED_VALUE_SHARE = 0.3;

/** Worth of an answer of this kind to a prompt of `promptTokens`, in time or late. */
export function answerValue(kind: RequestKind, promptTokens: number, isInTime: boolean): number {
  const size = promptTokens / kind.promptTokens.mean;
  const relativeValue = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size;
  return (
    Math.min(MAX_RELATIVE_VALUE, relativeValue) * (isInTime ? kind.inTimeValue : kind.lateValue)
  );
}
