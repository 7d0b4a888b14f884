import type { Milliseconds } from '@poppypond/core';

/** The termination (crash, kill or restart) of a server while it ran a request. */
export interface ServerTermination {
  readonly server: string;
  /** The host that made the attempt. */
  readonly host: string;
  /** When the termination was detected, on this process's monotonic clock. */
  readonly atMs: Milliseconds;
}

/** The state of one request that servers terminated while running. */
export interface QuarantineEntry {
  /** Content id of the request, the same for all its tries. */
  readonly content: string;
  /** Incremented when the request is served after terminations; `ends` then starts at 0 again. */
  readonly round: number;
  /**
   * Number of consecutive terminations: each one during a run that began when the previous one was
   * known.
   */
  readonly ends: number;
  /**
   * End of the quarantine, on this process's monotonic clock; applies if `ends` is at least
   * `MAX_TERMINATIONS`.
   */
  readonly quarantinedUntilMs: Milliseconds;
  /** When this process learned of the last change, on its monotonic clock. */
  readonly changedAtMs: Milliseconds;
  /** The latest terminations, at most `MAX_LISTED_TERMINATIONS`. */
  readonly lastTerminations: readonly ServerTermination[];
}

/** The terminations of a request that are known when a run of it begins. */
export interface TerminationHistory {
  readonly round: number;
  readonly ends: number;
}

/**
 * `free`: the request may run. `trial`: it may run once, as its hold time is over. `held`: it must
 * not run.
 */
export type QuarantineVerdict = 'free' | 'trial' | 'held';

/**
 * Number of consecutive terminations after which a request is quarantined. In 720 simulated days of
 * terminations, connection resets and rolling releases, including the loss of whole services at
 * once, 15 of 1,008,000 regular requests reach three, and none is refused for longer than 3 s (see
 * quarantine-simulation.test.ts).
 */
export const MAX_TERMINATIONS = 3;
/**
 * Duration of the first hold; each trial that terminates a server makes it four times as long. Such
 * a trial costs the requests that run on the server, about ten, and takes the server out of service
 * for about 3 s. A regular request that is held is released after one hold at the latest, or
 * earlier if the same request is served elsewhere.
 */
const INITIAL_HOLD_MS: Milliseconds = 20_000;
const HOLD_GROWTH = 4;
const MAX_HOLD_MS: Milliseconds = 600_000;
/** The history of a request without known terminations. */
export const NO_TERMINATIONS: TerminationHistory = { round: 0, ends: 0 };

/** Duration of the hold after this number of terminations. */
export function holdMs(ends: number): Milliseconds {
  return Math.min(
    MAX_HOLD_MS,
    INITIAL_HOLD_MS * HOLD_GROWTH ** Math.max(0, ends - MAX_TERMINATIONS),
  );
}

/** Whether a request has reached the number of terminations at which it may run only as a trial. */
export function isQuarantined({ ends }: QuarantineEntry): boolean {
  return ends >= MAX_TERMINATIONS;
}

/** Whether `other` replaces `known`, by an order that is the same on all hosts. */
export function supersedes(other: QuarantineEntry, known: QuarantineEntry): boolean {
  if (other.round !== known.round) return other.round > known.round;
  return other.ends > known.ends || isQuarantinedLonger(other, known);
}

/**
 * Whether `other` has the same terminations but a longer hold; differences due to message latency
 * are ignored.
 */
function isQuarantinedLonger(other: QuarantineEntry, known: QuarantineEntry): boolean {
  return (
    other.ends === known.ends &&
    other.quarantinedUntilMs > known.quarantinedUntilMs + holdMs(MAX_TERMINATIONS) / 2
  );
}
