import { loadBootClock } from '@poppypond/core';
import type { Log } from './log.js';

/** Has suspensions of the machine seen by the clock, soon after the start, and logs whether they are. */
export async function enableSuspensionDetection(log: Log): Promise<void> {
  const why = await loadBootClock();
  if (why === undefined) log.info('suspensions_seen', {});
  else log.warn('suspensions_unseen', { why });
}
