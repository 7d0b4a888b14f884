import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from './backend-server.js';
import { MIN_SLOWDOWN } from './server-speeds.js';

/** Times of a stream on engines of the usual speed, with the load that the planner knew. */
export interface UsualTimes {
  /** From the start of the attempt to the first event; undefined if it queues on an engine. */
  readonly firstEventMs?: Milliseconds | undefined;
  /** Between two events. */
  readonly passMs: Milliseconds;
}

/** Receives the time that a server took, relative to the usual one. */
export type SpeedListener = (
  server: BackendServer,
  ratio: number,
  source: 'first_event' | 'events',
) => void;

/** Derives the speed of the engines of one stream from the times of its events. */
export class StreamSpeed {
  #lastEventsAtMs: Milliseconds | undefined;
  #lastGapMs: Milliseconds | undefined;
  #hasEvents = false;

  /** `engines`: the one that decodes the answer, then those that prefill parts of the prompt. */
  constructor(
    readonly engines: readonly BackendServer[],
    readonly usual: UsualTimes,
    readonly startedAtMs: Milliseconds,
    readonly onSpeed: SpeedListener,
  ) {}

  /**
   * Records the arrival of `count` events. `isPaused`: whether this host does not read from the
   * server, which then looks slow.
   */
  onEvents(count: number, isPaused: boolean, nowMs: Milliseconds): void {
    if (count === 0) return;
    const lastMs = this.#lastEventsAtMs;
    this.#lastEventsAtMs = isPaused ? undefined : nowMs;
    if (!this.#hasEvents) this.#onFirstEvent(nowMs);
    else if (lastMs === undefined) this.#lastGapMs = undefined;
    else this.#onGap((nowMs - lastMs) / count);
    this.#hasEvents = true;
  }

  /**
   * A first event in time shows that all engines of the prompt are fast. A late one shows which
   * engine is slow only if there is just one.
   */
  #onFirstEvent(nowMs: Milliseconds): void {
    const { firstEventMs } = this.usual;
    if (firstEventMs === undefined || firstEventMs <= 0) return;
    const ratio = (nowMs - this.startedAtMs) / firstEventMs;
    if (this.engines.length > 1 && ratio >= MIN_SLOWDOWN) return;
    for (const engine of this.engines) this.onSpeed(engine, ratio, 'first_event');
  }

  /**
   * Two gaps in a row have to be long: a single one may contain a prefill for another request, or
   * a pause of this process.
   */
  #onGap(gapMs: Milliseconds): void {
    const lastMs = this.#lastGapMs;
    this.#lastGapMs = gapMs;
    const [writer] = this.engines;
    if (!writer || lastMs === undefined || this.usual.passMs <= 0) return;
    this.onSpeed(writer, Math.min(gapMs, lastMs) / this.usual.passMs, 'events');
  }
}
