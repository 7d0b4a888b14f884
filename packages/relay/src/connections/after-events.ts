import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

/**
 * Calls `callback` after a delay and the events that are due by then: after a pause of the process
 * the connection may be up although the delay has passed.
 */
export function afterEvents(
  clock: Clock,
  delayMs: Milliseconds,
  callback: () => void,
): CancelTimer {
  let isCancelled = false;
  const cancel = clock.after(delayMs, () => {
    setImmediate(() => {
      if (!isCancelled) callback();
    });
  });
  return () => {
    isCancelled = true;
    cancel();
  };
}
