import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';

/** A lognormal distribution with the given mean; samples above `most` are set to `most`. */
export interface LognormalDistribution {
  readonly mean: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
  readonly most: number;
}

/** One kind of request: its rate, its sizes, its latency targets and the value of serving it. */
export interface RequestKind {
  readonly name: string;
  readonly requestsPerSecond: number;
  readonly promptTokens: LognormalDistribution;
  /** Number of events of an answer. */
  readonly events: LognormalDistribution;
  /** Latency target of the first event, from the first try. */
  readonly aimMs: Milliseconds;
  /** Latency target of the gap between events; an answer with a longer gap is late. */
  readonly gapAimMs: Milliseconds;
  /** Time after which the caller gives up, from the first try. */
  readonly timeoutMs: Milliseconds;
  /** Value of an answer to a prompt of mean length that is in time; `lateValue` if it is late. */
  readonly inTimeValue: number;
  readonly lateValue: number;
  /** Priority of its requests, 0 is the most urgent; 1 if undefined. */
  readonly priority?: number;
}

/** A workspace and its share of the requests; the shares of all add up to 1. */
export interface WorkspaceShare {
  readonly name: string;
  readonly share: number;
}

/** Engines and the traffic of their callers. */
export interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly figures: EngineFigures;
  readonly kinds: readonly RequestKind[];
  /** Workspaces that send the requests; a single one if undefined. */
  readonly workspaces?: readonly WorkspaceShare[];
}

/** A period in which the request rate of some kinds is multiplied by `factor`. */
export interface Burst {
  readonly kinds: readonly string[];
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly factor: number;
}

/**
 * A period in which an engine rejects attempts and asks for backoff (`rests`), or reports in its
 * responses that it leaves (`leaves`) or that it has a rate limit (`limits`).
 */
export interface EngineNotice {
  readonly engineId: string;
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly kind: 'rests' | 'leaves' | 'limits';
}

/** A period in which an engine takes `factor` times as long for everything. */
export interface SlowPeriod {
  readonly engineId: string;
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly factor: number;
}

/**
 * A period in which an engine rejects a share of its attempts (`rejects`), answers a share with an
 * internal error (`fails`), or stops and starts again (`flaps`).
 */
export interface EngineFault {
  readonly engineId: string;
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
  readonly kind: 'rejects' | 'fails' | 'flaps';
}

/** Returns the identifier of an engine. Engines are filled in the order of their identifiers. */
export function engineIdOf(index: number): string {
  return `engine-${String(index).padStart(3, '0')}`;
}

/** Duration of the traffic of a simulation and the deviations from normal operation in it. */
export interface Scenario {
  readonly durationMs: Milliseconds;
  readonly bursts: readonly Burst[];
  /** Times at which all hosts are killed; they restart without any state. */
  readonly restartsAtMs: readonly Milliseconds[];
  readonly notices: readonly EngineNotice[];
  /** Engines that are slow for a while; none if undefined. */
  readonly slowPeriods?: readonly SlowPeriod[];
  /** Whether hosts observe the speed of engines and plan by it. */
  readonly observesSpeeds?: boolean;
  /** None if undefined. */
  readonly faults?: readonly EngineFault[];
  /** Whether a long history of failures and probation of engines apply. */
  readonly observesFailures?: boolean;
  /** Whether engines with a high failure rate are avoided, which the relay does for plain servers. */
  readonly judgesFailureRates?: boolean;
  /**
   * Whether a refused caller retries once, at the time that its refusal gives, unless that is later
   * than it honors.
   */
  readonly retriesRefusals?: boolean;
}

/**
 * Upper bound of the value of an answer, relative to the value at its kind's mean prompt length.
 */
const MAX_RELATIVE_VALUE = 4;
/** Share of the value that does not depend on the length of the prompt. */
const FIXED_VALUE_SHARE = 0.3;

/** Returns the value of an answer of this kind to a prompt of `promptTokens`, in time or late. */
export function answerValue(kind: RequestKind, promptTokens: number, isInTime: boolean): number {
  const size = promptTokens / kind.promptTokens.mean;
  const relativeValue = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size;
  return (
    Math.min(MAX_RELATIVE_VALUE, relativeValue) * (isInTime ? kind.inTimeValue : kind.lateValue)
  );
}
