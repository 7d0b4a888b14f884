import type { EventFrame } from '../backend/event-frame-splitter.js';
import type { ResponseHead } from '../ports.js';
import type { CallerResponse } from './caller-response.js';

/** The events of one answer, from whichever attempts they come: each goes out once, in order. */
export class ResponseEvents {
  #lastId: number | undefined;
  /** The head under which the events go out, also those of later attempts. */
  #head: ResponseHead | undefined;

  /** `lastId`: the last event that the caller has already; undefined for none. */
  constructor(
    readonly answer: CallerResponse,
    lastId: number | undefined,
  ) {
    this.#lastId = lastId;
  }

  /** The last event that the caller has or was sent; undefined for none. */
  get lastId(): number | undefined {
    return this.#lastId;
  }

  /** Passes on those of `frames` that are new; false where the caller must first take in more. */
  write(frames: readonly EventFrame[], head: ResponseHead): boolean {
    this.#head ??= head;
    const newFrames = frames.filter((frame) => this.#isNext(frame));
    if (newFrames.length === 0) return true;
    return this.answer.writeEvents(this.#head, Buffer.concat(newFrames.map(({ bytes }) => bytes)));
  }

  /** Ends the answer; its status. A stream taken up after its last event has only `head`. */
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
