import type { Clock, Milliseconds } from '@poppypond/core';
import { StreamSpeed } from '@poppypond/fleet';
import type { AttemptOutcome } from '../backend/server-attempt.js';
import type { SpeedNotices } from '../notices/speed-notices.js';
import type { Choice } from './choice.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** Observes the speed of the servers of one attempt. Does nothing if speeds are not observed. */
export class SpeedObserver {
  readonly #startedAtMs: Milliseconds;
  readonly #stream: StreamSpeed | undefined;

  constructor(
    readonly notices: SpeedNotices,
    readonly clock: Clock,
    readonly choice: Choice,
    /** Name of the route. */
    readonly route: string,
  ) {
    this.#startedAtMs = clock.monotonicMs();
    const usual = notices.isEnabled ? choice.plan?.stream.usual : undefined;
    const engines = [choice.server, ...choice.readers];
    this.#stream =
      usual &&
      new StreamSpeed(engines, usual, this.#startedAtMs, (server, ratio, source) => {
        notices.record(server, ratio, source);
      });
  }

  /** Records the arrival of `count` events. `isPaused`: whether this host pauses the server. */
  onEvents(count: number, isPaused: boolean): void {
    this.#stream?.onEvents(count, isPaused, this.clock.monotonicMs());
  }

  /** Records the end of the attempt: the duration of a call to a plain service. */
  onEnd(end: AttemptOutcome): void {
    if (!this.notices.isEnabled || this.choice.plan || end.kind !== 'whole') return;
    const { isNotExecuted, status } = end.head;
    if (isNotExecuted || status >= MIN_SERVER_ERROR_STATUS) return;
    const durationMs = this.clock.monotonicMs() - this.#startedAtMs;
    this.notices.recordCall(this.choice.server, this.route, durationMs);
  }
}
