import type { Milliseconds } from '@poppypond/core';

/**
 * How an attempt ended. `not_sent`: no byte left this host. `not_run`: the server confirmed that
 * it ran nothing. `failed`: it ran and said that it failed. `unknown`: it may have run.
 */
export type AttemptFailure = 'not_sent' | 'not_run' | 'failed' | 'unknown';

/** What decides whether a failed attempt is followed by another. */
export interface RetryInputs {
  readonly failure: AttemptFailure;
  readonly mayRepeat: boolean;
  /** Attempts that reached a server, this one included. */
  readonly attemptsSent: number;
  readonly attemptsNotSent: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: Milliseconds;
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
    | 'budget_spent'
    | 'unreachable';
}

/** Attempts that never left this host; more would only hold the caller up. */
const MOST_ATTEMPTS_NOT_SENT = 4;
/** With less time than this no server could still answer. */
const SHORTEST_USEFUL_MS = 60;

/** Decides whether to try another server. */
export function decideRetry(inputs: RetryInputs): RetryDecision {
  if (inputs.timeLeftMs < SHORTEST_USEFUL_MS) return { again: false, why: 'no_time_left' };
  if (inputs.failure === 'not_sent') {
    return inputs.attemptsNotSent < MOST_ATTEMPTS_NOT_SENT
      ? { again: true, why: 'nothing_was_sent' }
      : { again: false, why: 'unreachable' };
  }
  const mayRun = inputs.failure === 'not_run' || inputs.mayRepeat;
  if (!mayRun) return { again: false, why: 'may_not_be_repeated' };
  if (inputs.attemptsSent >= inputs.maxAttempts) return { again: false, why: 'attempts_used' };
  return inputs.takeRetry()
    ? { again: true, why: 'allowed' }
    : { again: false, why: 'budget_spent' };
}
