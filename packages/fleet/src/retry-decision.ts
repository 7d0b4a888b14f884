import type { Milliseconds } from '@poppypond/core';

/**
 * How an attempt failed. `not_sent`: no byte left this host. `misdirected`: the intended server is
 * gone, and another one at its address did not run the request. `not_run`: the server confirmed
 * that it did not run the request. `failed`: the server ran it and reported a failure. `unknown`:
 * it may have run.
 */
export type AttemptFailure = 'not_sent' | 'misdirected' | 'not_run' | 'failed' | 'unknown';

/**
 * Whether no server of the service received the attempt, so that it does not count against the
 * allowed attempts.
 */
export function isUndelivered(failure: AttemptFailure): boolean {
  return failure === 'not_sent' || failure === 'misdirected';
}

/** Inputs of the decision whether to retry a failed attempt. */
export interface RetryInputs {
  readonly failure: AttemptFailure;
  readonly mayRepeat: boolean;
  /** Attempts that reached a server of the service, this one included. */
  readonly attemptsSent: number;
  /** Attempts that no server of the service received, this one included. */
  readonly attemptsUndelivered: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: Milliseconds;
  /**
   * Whether the request is quarantined because servers terminated while running it, in this try or
   * others.
   */
  readonly isQuarantined: boolean;
  /** Takes one retry from the shared budget; called only if nothing else forbids the retry. */
  readonly takeRetry: () => boolean;
}

/** The decision and its reason. */
export interface RetryDecision {
  readonly again: boolean;
  readonly why:
    | 'nothing_was_sent'
    | 'allowed'
    | 'may_not_be_repeated'
    | 'attempts_used'
    | 'no_time_left'
    | 'quarantined'
    | 'budget_spent'
    | 'unreachable';
}

/** Limit of attempts that no server of the service received; more would only delay the caller. */
const MAX_UNDELIVERED = 4;
/** With less time left than this, no server could still answer. */
const MIN_USEFUL_MS = 60;

/** Returns why a retry is forbidden regardless of the budget; undefined if it is not. */
function refusalReason(inputs: RetryInputs): RetryDecision['why'] | undefined {
  const { failure, mayRepeat, attemptsSent, attemptsUndelivered, maxAttempts } = inputs;
  if (isUndelivered(failure)) {
    return attemptsUndelivered < MAX_UNDELIVERED ? undefined : 'unreachable';
  }
  if (failure !== 'not_run' && !mayRepeat) return 'may_not_be_repeated';
  return attemptsSent < maxAttempts ? undefined : 'attempts_used';
}

/** Decides whether to retry on another server. */
export function decideRetry(inputs: RetryInputs): RetryDecision {
  if (inputs.timeLeftMs < MIN_USEFUL_MS) return { again: false, why: 'no_time_left' };
  if (inputs.isQuarantined) return { again: false, why: 'quarantined' };
  const why = refusalReason(inputs);
  if (why) return { again: false, why };
  if (inputs.failure === 'not_sent') return { again: true, why: 'nothing_was_sent' };
  return inputs.takeRetry()
    ? { again: true, why: 'allowed' }
    : { again: false, why: 'budget_spent' };
}
