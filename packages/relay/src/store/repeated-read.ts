import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { Result } from 'true-myth';

/**
 * Silence after which another call is started beside the first. A store that answers each call
 * 300 ms late gets one call.
 */
const FIRST_REPEAT_MS: Milliseconds = 400;
/**
 * The same for all later calls. A store that is back is noticed within this time; 330 hosts that
 * start together make 660 calls a second while it is silent.
 */
const REPEAT_PERIOD_MS: Milliseconds = 500;

/**
 * Calls, and calls again beside the outstanding calls while none has a result; resolves with the
 * first result, a failure included. A store that was unresponsive may never answer the calls that
 * it received meanwhile, and waiting for their timeout would delay the start by up to 1.5 s. An
 * outstanding call is not abandoned, so that a store slower than the repeat period still succeeds.
 * Only for calls that may be repeated.
 */
export function repeatUntilResult<Value, Failure>(
  clock: Clock,
  call: () => Promise<Result<Value, Failure>>,
): Promise<Result<Value, Failure>> {
  return new Promise((resolve, reject) => {
    let cancel: CancelTimer = () => undefined;
    const start = (repeatAfterMs: Milliseconds) => {
      cancel = clock.after(repeatAfterMs, () => {
        start(REPEAT_PERIOD_MS);
      });
      call().then(
        (result) => {
          cancel();
          resolve(result);
        },
        (error: unknown) => {
          cancel();
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    };
    start(FIRST_REPEAT_MS);
  });
}
