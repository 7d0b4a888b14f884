import { delay } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import type { Result } from 'true-myth';

/**
 * How long after its start, or after a process pause, a host lets requests wait for its
 * configuration. Hosts with a third of a core have it 0.22 s after they open their port in the
 * median of 135 starts, and 0.26 s at the 90th percentile; the first heartbeat that confirms it
 * follows at once. A store that answers 300 ms late adds this to the read of the members and again
 * to that of the configuration: 0.76 to 0.98 s after the start on hosts that share 12 busy cores.
 */
const GRACE_MS: Milliseconds = 1500;
/** A request waits for at most this share of its time limit, so that it can still be served. */
const MAX_WAIT_SHARE = 0.65;
/** Period of the checks of a waiting request. */
const POLL_PERIOD_MS: Milliseconds = 10;

/**
 * Lets requests wait that arrive just after the start or a pause of the process, before the host
 * has a confirmed configuration. After a loss of all hosts callers retry at once, most of them for
 * the last time: a refusal would fail their requests, although the configuration arrives within a
 * moment. A host without a confirmed configuration at any later time has lost the store and all its
 * peers, and refuses at once.
 */
export class StartupGrace {
  #untilMs: Milliseconds;

  constructor(readonly clock: Clock) {
    this.#untilMs = clock.monotonicMs() + GRACE_MS;
  }

  /** Handles a process pause: what the host knows is out of date and is about to be refreshed. */
  onPause(): void {
    this.#untilMs = this.clock.monotonicMs() + GRACE_MS;
  }

  /**
   * Calls `admit` until its result is no longer `not_ready`, the caller has disconnected, the grace
   * period is over or too much of the request's time limit has passed; returns the last result.
   */
  async waitForAdmission<Value>(
    admit: () => Result<Value, Fault>,
    isDisconnected: () => boolean,
    timeLimitMs: Milliseconds = Number.POSITIVE_INFINITY,
  ): Promise<Result<Value, Fault>> {
    const untilMs = this.clock.monotonicMs() + timeLimitMs * MAX_WAIT_SHARE;
    let result = admit();
    while (this.#mustWait(result, untilMs) && !isDisconnected()) {
      await delay(this.clock, POLL_PERIOD_MS);
      result = admit();
    }
    return result;
  }

  #mustWait<Value>(result: Result<Value, Fault>, untilMs: Milliseconds): boolean {
    if (this.clock.monotonicMs() >= Math.min(untilMs, this.#untilMs)) return false;
    return result.isErr && result.error.code === 'not_ready';
  }
}
