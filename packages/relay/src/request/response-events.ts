import type { EventFrame } from '../backend/event-frames.js';
import type { ResponseHead } from '../ports.js';
import type { CallerResponse } from './caller-response.js';

/**
 * The events of one response, from all its attempts: sends each event to the caller once, in order.
 */
export class ResponseEvents {
  #lastId: number | undefined;
  /**
   * Head of the response: that of the first attempt that sends events, also for events of later
   * attempts.
   */
  #head: ResponseHead | undefined;

  /** `lastId`: id of the last event that the caller already has; undefined if it has none. */
  constructor(
    readonly answer: CallerResponse,
    lastId: number | undefined,
  ) {
    this.#lastId = lastId;
  }

  /** Id of the last event that the caller has or was sent; undefined if there is none. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Sends the new events among `frames`; returns false if the caller's connection is congested. */
  write(frames: readonly EventFrame[], head: ResponseHead): boolean {
    this.#head ??= head;
    const newFrames = frames.filter((frame) => this.#isNext(frame));
    if (newFrames.length === 0) return true;
    return this.answer.writeEvents(this.#head, Buffer.concat(newFrames.map(({ bytes }) => bytes)));
  }

  /**
   * Ends the response and returns its status. `head` is used if no event was sent, as in a stream
   * resumed after its last event.
   */
  end(head: ResponseHead): number {
    const sentHead = this.#head ?? head;
    this.answer.endEvents(sentHead);
    return sentHead.status;
  }

  #isNext({ id }: EventFrame): boolean {
    if (id === undefined) return true;
    if (this.#lastId !== undefined && id <= this.#lastId) return false;
    this.#lastId = id;
    return true;
  }
}
