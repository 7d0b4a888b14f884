/** One event of a stream: its bytes as they came, and its id if it has a number for one. */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

const LF_SEPARATOR = Buffer.from('\n\n');
const CRLF_SEPARATOR = Buffer.from('\r\n\r\n');

function endOfFrame(bytes: Buffer): number {
  const lfIndex = bytes.indexOf(LF_SEPARATOR);
  const crlfIndex = bytes.indexOf(CRLF_SEPARATOR);
  const lfEnd = lfIndex < 0 ? Number.POSITIVE_INFINITY : lfIndex + LF_SEPARATOR.length;
  const crlfEnd = crlfIndex < 0 ? Number.POSITIVE_INFINITY : crlfIndex + CRLF_SEPARATOR.length;
  return Math.min(lfEnd, crlfEnd);
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
export class EventFrameSplitter {
  #partial: Buffer = Buffer.alloc(0);

  /** Whether part of an event is held back. */
  get hasPartialFrame(): boolean {
    return this.#partial.length > 0;
  }

  /** Takes bytes in; the events that are whole now. */
  push(chunk: Buffer): readonly EventFrame[] {
    let bytes = this.#partial.length > 0 ? Buffer.concat([this.#partial, chunk]) : chunk;
    const frames: EventFrame[] = [];
    for (let end = endOfFrame(bytes); end <= bytes.length; end = endOfFrame(bytes)) {
      const frame = bytes.subarray(0, end);
      frames.push({ bytes: frame, id: idOf(frame) });
      bytes = bytes.subarray(end);
    }
    this.#partial = bytes;
    return frames;
  }
}
