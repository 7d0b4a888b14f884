import type { Milliseconds } from '@poppypond/core';

/**
 * How an attempt ended. `not_sent`: no byte left this host. `misdirected`: the server that was meant
 * is gone, and another one at its address ran nothing. `not_run`: the server confirmed that it ran
 * nothing. `failed`: it ran and said that it failed. `unknown`: it may have run.
 */
export type AttemptFailure = 'not_sent' | 'misdirected' | 'not_run' | 'failed' | 'unknown';

/** Whether no server of the service has seen the attempt, so that it counts as none of those allowed. */
export function isUndelivered(failure: AttemptFailure): boolean {
  return failure === 'not_sent' || failure === 'misdirected';
}

/** What decides whether a failed attempt is followed by another. */
export interface RetryInputs {
  readonly failure: AttemptFailure;
  readonly mayRepeat: boolean;
  /** Attempts that reached a server of the service, this one included. */
  readonly attemptsSent: number;
  /** Attempts that no server of the service has seen, this one included. */
  readonly attemptsUndelivered: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: Milliseconds;
  /** Whether it is not run for a time, as servers have ended under it, in this try or others. */
  readonly isQuarantined: boolean;
  /** Takes one retry of the shared budget; called only when nothing else forbids it. */
  readonly takeRetry: () => boolean;
}

/** The verdict and the input that decided it. */
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

/** Attempts that no server of the service has seen; more would only hold the caller up. */
const MAX_UNDELIVERED = 4;
/** With less time than this no server could still answer. */
const MIN_USEFUL_MS = 60;

/** What forbids another attempt whatever the budget allows; undefined where nothing does. */
function refusalReason(inputs: RetryInputs): RetryDecision['why'] | undefined {
  const { failure, mayRepeat, attemptsSent, attemptsUndelivered, maxAttempts } = inputs;
  if (isUndelivered(failure)) {
    return attemptsUndelivered < MAX_UNDELIVERED ? undefined : 'unreachable';
  }
  if (failure !== 'not_run' && !mayRepeat) return 'may_not_be_repeated';
  return attemptsSent < maxAttempts ? undefined : 'attempts_used';
}

/** Decides whether to try another server. */
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
