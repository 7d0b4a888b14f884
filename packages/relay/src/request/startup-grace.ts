import { delay } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import type { Result } from 'true-myth';

/**
 * How long after its start, or after a pause of its process, a host has requests wait for what it is about to be told. On hosts with a
 * third of a core it knows the configuration 0.22 s after it opens its port in the middle of 135 starts
 * and 0.26 s in nine of ten; the first heartbeat with the proof follows at once.
 */
const GRACE_MS: Milliseconds = 500;
/** Pause before a waiting request is looked at again. */
const POLL_PERIOD_MS: Milliseconds = 10;

/**
 * Has requests wait that come to a host just after its start or a pause, before it knows what holds. After a loss of all
 * hosts callers come back at once, most of them for the last time: a refusal is the end of
 * their request, and what they wait for is there within a moment. Later a host that does not know
 * what holds has lost its way to the store and to all peers, and refuses at once.
 */
export class StartupGrace {
  #untilMs: Milliseconds;

  constructor(readonly clock: Clock) {
    this.#untilMs = clock.monotonicMs() + GRACE_MS;
  }

  /** The process stood still: what it knew is old, and it is about to be told. */
  onPause(): void {
    this.#untilMs = this.clock.monotonicMs() + GRACE_MS;
  }

  /** The result of `admit`, asked again until it is not `not_ready` any more or the time is over. */
  async waitForAdmission<Value>(
    admit: () => Result<Value, Fault>,
    isDisconnected: () => boolean,
  ): Promise<Result<Value, Fault>> {
    let result = admit();
    while (this.#mustWait(result) && !isDisconnected()) {
      await delay(this.clock, POLL_PERIOD_MS);
      result = admit();
    }
    return result;
  }

  #mustWait<Value>(result: Result<Value, Fault>): boolean {
    if (this.clock.monotonicMs() >= this.#untilMs) return false;
    return result.isErr && result.error.code === 'not_ready';
  }
}
