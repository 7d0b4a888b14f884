import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';

/** Decides the order of tasks, e.g. a fast-check scheduler. */
export interface TaskScheduler {
  schedule<Value>(task: Promise<Value>, label?: string): Promise<Value>;
}

/** A clock whose time never advances. Its timers fire in the order that the scheduler picks. */
export class ScheduledClock implements Clock {
  constructor(
    readonly scheduler: TaskScheduler,
    readonly nowMs: Milliseconds = 1000,
  ) {}

  monotonicMs(): Milliseconds {
    return this.nowMs;
  }

  wallMs(): Milliseconds {
    return this.nowMs;
  }

  after(_delayMs: Milliseconds, callback: () => void): CancelTimer {
    let isCancelled = false;
    void this.scheduler.schedule(Promise.resolve(), 'timer').then(() => {
      if (!isCancelled) callback();
    });
    return () => {
      isCancelled = true;
    };
  }

  every(): CancelTimer {
    return () => undefined;
  }
}
