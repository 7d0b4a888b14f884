import type { Milliseconds } from '@poppypond/core';
import type { Resolution } from '@poppypond/objects';
import type { AppliedBudget, Lane } from '@poppypond/policy';
import type { Caller } from '../callers/authenticate.js';
import type { CallerHeaders } from '../callers/caller-headers.js';
import type { CompletionBody, CompletionStyle } from './request-body.js';

/** A parsed and authenticated request. */
export interface CompletionRequest {
  readonly id: string;
  readonly style: CompletionStyle;
  readonly caller: Caller;
  readonly headers: CallerHeaders;
  /** The body as received. A single engine gets these bytes unchanged. */
  readonly bytes: Buffer;
  readonly body: CompletionBody;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: Milliseconds;
}

/** A request with all decisions that precede its placement. */
export interface AdmittedRequest extends CompletionRequest {
  readonly resolution: Resolution;
  /** `name@revision` of the rule. */
  readonly rule: string;
  readonly className: string;
  readonly pools: readonly string[];
  readonly priority: number;
  readonly promptTokens: number;
  readonly lane: Lane;
  /** Chain hashes of the prompt's first blocks, as prefix caches list them. */
  readonly prefix: readonly string[];
  /** Monotonic time at which the time limit expires. */
  readonly deadlineMs: Milliseconds;
  readonly budgets: readonly AppliedBudget[];
  /** Whether the request is too large for the memory of any single engine. */
  readonly needsGroup: boolean;
}
