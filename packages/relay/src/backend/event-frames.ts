/** One event of a stream: its bytes as they came, and its id if it has a number for one. */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

const LINE_FEEDS = Buffer.from('\n\n');
const CARRIAGE_RETURNS = Buffer.from('\r\n\r\n');

function endOfFrame(bytes: Buffer): number {
  const plain = bytes.indexOf(LINE_FEEDS);
  const carriage = bytes.indexOf(CARRIAGE_RETURNS);
  const plainEnd = plain < 0 ? Number.POSITIVE_INFINITY : plain + LINE_FEEDS.length;
  const carriageEnd = carriage < 0 ? Number.POSITIVE_INFINITY : carriage + CARRIAGE_RETURNS.length;
  return Math.min(plainEnd, carriageEnd);
}

/**
 * The id of an event. Read from its line, as parsers of event streams pass over events without
 * data, and those must not be delivered twice either.
 */
function idOf(frame: Buffer): number | undefined {
  const id = /^id:[ ]?(\d+)\r?$/m.exec(frame.toString('latin1'))?.[1];
  return id === undefined ? undefined : Number(id);
}

/** Cuts a stream into whole events, byte for byte; what comes of an unfinished one is held back. */
export class EventFrames {
  #rest: Buffer = Buffer.alloc(0);

  /** Whether part of an event is held back. */
  get hasRest(): boolean {
    return this.#rest.length > 0;
  }

  /** Takes bytes in; the events that are whole now. */
  push(chunk: Buffer): readonly EventFrame[] {
    let bytes = this.#rest.length > 0 ? Buffer.concat([this.#rest, chunk]) : chunk;
    const frames: EventFrame[] = [];
    for (let end = endOfFrame(bytes); end <= bytes.length; end = endOfFrame(bytes)) {
      const frame = bytes.subarray(0, end);
      frames.push({ bytes: frame, id: idOf(frame) });
      bytes = bytes.subarray(end);
    }
    this.#rest = bytes;
    return frames;
  }
}
