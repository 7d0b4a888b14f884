import type { Milliseconds } from '@poppypond/core';
import type { Resolution } from '@poppypond/objects';
import type { AppliedBudget, Lane } from '@poppypond/policy';
import type { Caller } from '../callers/authenticate.js';
import type { CallerHeaders } from '../callers/caller-headers.js';
import type { CompletionBody, CompletionStyle } from './request-body.js';

/** A checked request of a caller. */
export interface CompletionRequest {
  readonly id: string;
  readonly style: CompletionStyle;
  readonly caller: Caller;
  readonly headers: CallerHeaders;
  /** The body as it came; engines get these bytes, nothing is written anew. */
  readonly bytes: Buffer;
  readonly body: CompletionBody;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: Milliseconds;
}

/** A request with everything that was decided before it is placed. */
export interface AdmittedRequest extends CompletionRequest {
  readonly resolution: Resolution;
  /** `name@revision` of the rule. */
  readonly rule: string;
  readonly className: string;
  readonly pools: readonly string[];
  readonly priority: number;
  readonly promptTokens: number;
  readonly lane: Lane;
  /** Chain values of the first blocks of the prompt. */
  readonly prefix: readonly string[];
  /** Monotonic time at which the time limit passes. */
  readonly deadlineMs: Milliseconds;
  readonly budgets: readonly AppliedBudget[];
  /** Larger than any one engine's memory. */
  readonly needsGroup: boolean;
}
