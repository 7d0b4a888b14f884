import { loadBootClock } from '@poppypond/core';
import type { Log } from './log.js';

/**
 * Loads the boot clock, so that `SystemClock` detects suspensions soon after the start, and logs
 * whether it does.
 */
export async function enableSuspensionDetection(log: Log): Promise<void> {
  const why = await loadBootClock();
  if (why === undefined) log.info('suspensions_seen', {});
  else log.warn('suspensions_unseen', { why });
}
