import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { PauseDetector } from '../pause-detector.js';
import type { Evacuations } from './evacuations.js';

/** Interval between checks whether the zones are confirmed. */
const POLL_PERIOD_MS: Milliseconds = 10;

/**
 * Holds back what is sent to backend servers after a process pause, until it is confirmed which
 * zones are evacuated: one may have been evacuated during the pause.
 */
export class ConfirmedZones {
  constructor(
    readonly clock: Clock,
    readonly evacuations: Evacuations,
    readonly pauseDetector: PauseDetector,
  ) {}

  /**
   * Resolves when the evacuated zones are confirmed, `isOver` returns true, or nobody has confirmed
   * them for a moment. The pause is detected here: the timer of a waiting request may fire before
   * the detector's.
   */
  async wait(isOver: () => boolean = () => false): Promise<void> {
    if (!this.evacuations.isEnabled) return;
    this.pauseDetector.check();
    while (this.evacuations.isUnconfirmed && !isOver()) await delay(this.clock, POLL_PERIOD_MS);
  }
}
